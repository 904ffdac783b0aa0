import { ConsensusMessage } from "./ConsensusMessage";
import { LogEntry } from "./LogEntry";

/**
 * What a task must do after a step, strictly in order: an action starts only when the one before is
 * done, so that an answer leaves only after what it vouches for has been synced.
 */
export type ConsensusAction =
    | { readonly kind: "persist-vote"; readonly term: number; readonly votedFor: string | undefined; }
    | { readonly kind: "persist-entries"; readonly fromIndex: number; readonly entries: readonly LogEntry[]; }
    | {
        readonly kind: "install-snapshot";
        readonly message: ConsensusMessage & { readonly kind: "snapshot-request"; };
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
    | { readonly kind: "read-ready"; readonly requestId: string; readonly index: number; };
