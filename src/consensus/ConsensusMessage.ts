import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";
import { StateStatement } from "./StateStatement";

/**
 * A message between replicas. `term` is the sender's term; in a pre-vote request and in the response that grants it, it
 * is the term of the proposed election. `round` numbers the leader's heartbeats and read barriers.
 */
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
        /** Added now and then by the sending task. */
        readonly applied?: StateStatement;
    }
    | {
        readonly kind: "append-response";
        readonly term: number;
        readonly success: boolean;
        /**
         * On success the index up to which the responder's synced log matches the leader's; on failure the highest
         * `previousIndex` worth trying next.
         */
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
        /** The state machine's state, added by the sending task. */
        readonly data?: unknown;
        /** True if it also replaces a state that includes the same entries; see `state-request`. */
        readonly replacesState?: boolean;
    }
    /** Asks the leader for its state, since that of the sender differs from it at the same entry. */
    | { readonly kind: "state-request"; readonly term: number; };
