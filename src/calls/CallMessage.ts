import { BackendLoad } from "./BackendLoad";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { MessageTiming } from "./MessageTiming";

/**
 * The messages between the node that received a caller's request and the node on the backend server's host. An "order"
 * asks that node to run a request; `number` matches it to its cancellation and result.
 */
export type CallMessage =
    | {
        readonly kind: "order";
        readonly number: number;
        readonly order: CallRequest;
        /** Size of the body if it is not in the order; it then follows in chunks as the receiver allows. */
        readonly bodyBytes?: number;
        /** Absent if the sending node is of a release without it. */
        readonly timing?: MessageTiming;
    }
    /** Allows the sender of a body to send so many more bytes of it. */
    | { readonly kind: "credit"; readonly number: number; readonly bytes: number; }
    | { readonly kind: "body"; readonly number: number; readonly chunk: Uint8Array; }
    /** The caller has disconnected, the time is over, or another attempt has succeeded. */
    | { readonly kind: "cancel"; readonly number: number; }
    /** The sending node ends in this time: a waiting request that can't be answered in it must not start. */
    | {
        readonly kind: "answer-within";
        readonly number: number;
        readonly withinMs: number;
        /** Absent if the sending node is of a release without it. */
        readonly timing?: MessageTiming;
    }
    /** Checks that the link is alive when no message has arrived for a while; the other side replies with "pong". */
    | { readonly kind: "ping"; }
    | { readonly kind: "pong"; }
    | {
        readonly kind: "result";
        readonly number: number;
        readonly result: CallResult;
        readonly load: BackendLoad | undefined;
        /** Time of the sender's monotonic clock, see `MessageTiming`. */
        readonly sentAtMs?: number;
    };
