import { ServiceContent } from "./ServiceContent";

/** One route of a service. */
export type Route = ServiceContent["routes"][number];
