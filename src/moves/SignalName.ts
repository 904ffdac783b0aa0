import { signals } from "./signals";

/** One kind of harm that a version is judged by. */
export type SignalName = (typeof signals)[number]["name"];
