import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";

/** One checksummed record of the log file or the snapshot file. */
export type StoreRecord =
    | { readonly kind: "vote"; readonly term: number; readonly votedFor?: string; }
    | { readonly kind: "entries"; readonly fromIndex: number; readonly entries: readonly LogEntry[]; }
    | {
        readonly kind: "snapshot";
        readonly index: number;
        readonly term: number;
        readonly membership: Membership;
        readonly data: unknown;
    };
