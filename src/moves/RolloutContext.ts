import { EntryRecord } from "../catalogue/EntryRecord";
import { CanaryAnalysisState } from "./CanaryAnalysisState";
import { Coverage } from "./Coverage";

/** The input of the decision on a rollout. */
export type RolloutContext = {
    readonly record: EntryRecord;
    readonly analysis: CanaryAnalysisState;
    readonly coverage: Coverage;
    /** Number of candidate requests that had been analysed when the current step began. */
    readonly requestsAtStepStart: number;
    /**
     * When this leader began to collect request statistics, in milliseconds since the Unix epoch. Those of an earlier
     * leader are lost.
     */
    readonly analysisSinceMs: number;
    readonly nowMs: number;
};
