import { EntryRecord } from "../catalogue/EntryRecord";
import { Coverage } from "./Coverage";
import { JudgeState } from "./JudgeState";

/** Everything that the decision on a move depends on. */
export type MoveQuestion = {
    readonly record: EntryRecord;
    readonly judge: JudgeState;
    readonly coverage: Coverage;
    /** Candidate requests that were judged when the present step began. */
    readonly requestsAtStep: number;
    /** Since when this leader gathers evidence: earlier evidence was lost with the leader before. */
    readonly judgingSinceMs: number;
    readonly nowMs: number;
};
