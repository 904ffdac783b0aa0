import { EntryRecord } from "../catalogue/EntryRecord";
import { Coverage } from "./Coverage";
import { JudgeState } from "./JudgeState";

/** The input of the decision on a rollout. */
export type RolloutContext = {
    readonly record: EntryRecord;
    readonly analysis: JudgeState;
    readonly coverage: Coverage;
    /** The candidate requests that had been analysed when the current step began. */
    readonly requestsAtStepStart: number;
    /**
     * When this leader began to collect request statistics, in milliseconds since the Unix epoch. Those of an earlier
     * leader are lost.
     */
    readonly analysisSinceMs: number;
    readonly nowMs: number;
};
