import { ConsensusMessage } from "./ConsensusMessage";
import { LogEntry } from "./LogEntry";

/**
 * A side effect of a step. `ConsensusTask` executes the actions strictly in order and one at a time, so that a response
 * is sent only after the data that it acknowledges has been synced to disk.
 */
export type ConsensusAction =
    | { readonly kind: "persist-vote"; readonly term: number; readonly votedFor: string | undefined; }
    | { readonly kind: "persist-entries"; readonly fromIndex: number; readonly entries: readonly LogEntry[]; }
    | {
        readonly kind: "install-snapshot";
        readonly message: ConsensusMessage & { readonly kind: "snapshot-request"; };
        /** Those of the log after the snapshot. */
        readonly entries: readonly LogEntry[];
    }
    | { readonly kind: "compact"; readonly index: number; }
    | { readonly kind: "send"; readonly to: string; readonly message: ConsensusMessage; }
    | { readonly kind: "reset-election-timer"; }
    | { readonly kind: "committed"; readonly index: number; }
    | { readonly kind: "appended"; readonly requestId: string; readonly index: number; readonly term: number; }
    | {
        readonly kind: "refused";
        readonly requestId: string;
        readonly leaderId: string | undefined;
        readonly reason: string;
    }
    /** This leader steps down since only these peers responded since the last quorum check. */
    | { readonly kind: "quorum-lost"; readonly responded: readonly string[]; }
    | { readonly kind: "read-ready"; readonly requestId: string; readonly index: number; };
