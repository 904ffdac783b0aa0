import { DepartureReport } from "./DepartureReport";

/** The departures from the host of the sender. */
export type OwnDepartures = {
    readonly reports: readonly DepartureReport[];
    /** False while the sender may not know yet what an earlier process of its host acknowledged. */
    readonly isComplete: boolean;
};
