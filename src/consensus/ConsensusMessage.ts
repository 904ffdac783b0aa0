import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";

/** The messages between replicas. `term` is the sender's term, or the term asked for in a pre-vote. */
export type ConsensusMessage =
    | {
        readonly kind: "pre-vote-request" | "vote-request";
        readonly term: number;
        readonly lastIndex: number;
        readonly lastTerm: number;
    }
    | {
        readonly kind: "pre-vote-response" | "vote-response";
        readonly term: number;
        readonly granted: boolean;
    }
    | {
        readonly kind: "append-request";
        readonly term: number;
        readonly previousIndex: number;
        readonly previousTerm: number;
        readonly entries: readonly LogEntry[];
        readonly commitIndex: number;
        readonly round: number;
    }
    | {
        readonly kind: "append-response";
        readonly term: number;
        readonly success: boolean;
        /** On success the highest durable entry; on failure the highest entry worth trying next. */
        readonly matchIndex: number;
        readonly round: number;
    }
    | {
        readonly kind: "snapshot-request";
        readonly term: number;
        readonly index: number;
        readonly snapshotTerm: number;
        readonly membership: Membership;
        readonly round: number;
        /** The state machine's state, filled in by the sending task. */
        readonly data?: unknown;
    };
