import { Departure } from "./Departure";

/** A departure as control stores it. */
export type StoredDeparture = Pick<Departure, "bornMs" | "instanceId"> & {
    /** Unix time in ms at which it left, by the clock of the replica that led then. */
    readonly leftAtMs: number;
};
