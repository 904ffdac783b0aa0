import { signals } from "./signals";

/** The name of a failure signal by which a version is analysed. */
export type SignalName = (typeof signals)[number]["name"];
