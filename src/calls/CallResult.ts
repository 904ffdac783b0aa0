import { CallAnswer } from "./CallAnswer";

/** What became of one attempt at a request. */
export type CallResult =
    | { readonly kind: "answered"; readonly answer: CallAnswer; }
    | {
        /** Certainly not run, and never will be. */
        readonly kind: "not-run";
        readonly reason: NotRunReason;
        readonly retryAfterMs: number;
    }
    | {
        /** It may have run. */
        readonly kind: "unknown";
        readonly reason: UnknownReason;
    };

type NotRunReason =
    /** The node beside the backend server has no room for it. */
    | "no-room"
    /** There is no such backend server at that host, or it is leaving. */
    | "not-here"
    /** No connection to the node or to the backend server could be opened. */
    | "unreachable"
    /** The backend server refused it and says that it did not run. */
    | "shed"
    /** The time was over before it was sent. */
    | "expired"
    | "cancelled";

type UnknownReason =
    | "broken"
    | "timed-out"
    | "cancelled"
    /** A success without the backend server's signature, or a promise that it does not make. */
    | "unsigned"
    /** The node beside the backend server gives no sign of life. */
    | "silent";
