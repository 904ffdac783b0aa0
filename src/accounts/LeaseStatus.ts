/** Whether keyed requests may be served: under a lease, without one, or not until a newer configuration arrives. */
export type LeaseStatus = "held" | "no-lease" | "configuration-behind";
