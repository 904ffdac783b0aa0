import { LoadResult } from "../load/LoadResult";
import { MoveMeasurement } from "./MoveMeasurement";
import { ScheduledFault } from "./ScheduledFault";

/** What the experiment on moves measured. */
export type MovesReport = {
    readonly moves: readonly MoveMeasurement[];
    readonly faults: readonly ScheduledFault[];
    /** One value for each revision, in milliseconds. */
    readonly convergenceMs: readonly number[];
    /** Revisions that a running node never put in force, because a newer one came first or the run ended. */
    readonly unmeasuredRevisions: number;
    readonly nodeBytesPerSecond: number;
    readonly idleNodeBytesPerSecond: number;
    readonly bytesPerChange: number;
    readonly wentBack: number;
    readonly repeated: number;
    readonly load: LoadResult;
};
