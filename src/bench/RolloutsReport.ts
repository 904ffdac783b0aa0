import { LoadResult } from "../load/LoadResult";
import { RolloutMeasurement } from "./RolloutMeasurement";
import { ScheduledFault } from "./ScheduledFault";

/** The results of the rollout experiment. */
export type RolloutsReport = {
    /** One item for each rollout. */
    readonly moves: readonly RolloutMeasurement[];
    readonly faults: readonly ScheduledFault[];
    /** Convergence times of the revisions that have one. */
    readonly convergenceMs: readonly number[];
    /**
     * Number of revisions without a convergence time: a node that was running at the end never had the revision or a
     * later one in force.
     */
    readonly unmeasuredRevisions: number;
    /** Control traffic that a node sends, on average, during the rollouts and while nothing changes. */
    readonly nodeBytesPerSecond: number;
    readonly idleNodeBytesPerSecond: number;
    /** Control traffic of a node above the idle traffic, for each accepted revision. */
    readonly bytesPerChange: number;
    /** How often a node put an older revision in force after a newer one. */
    readonly wentBack: number;
    /** Number of idempotency keys that ran more than once on one backend server, summed over all backend servers. */
    readonly repeated: number;
    readonly load: LoadResult;
};
