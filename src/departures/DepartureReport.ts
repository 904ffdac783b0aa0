import { Departure } from "./Departure";

/** A departure as processes tell it to one another. Their clocks differ, so it carries an age. */
export type DepartureReport = Pick<Departure, "bornMs" | "instanceId"> & {
    /** Time since it left, in milliseconds. */
    readonly ageMs: number;
};
