import { CrashReport } from "../crashes/CrashReport";
import { CallResponse } from "./CallResponse";

/** The result of one attempt at a request. */
export type CallResult =
    | { readonly kind: "answered"; readonly answer: CallResponse; }
    | {
        /** The request did not run and will not run later. */
        readonly kind: "not-run";
        readonly reason: NotRunReason;
        readonly retryAfterMs: number;
    }
    | {
        /** The request may have run. */
        readonly kind: "unknown";
        readonly reason: UnknownReason;
        /** With reason "backend-ended": what the node on its host reports to all members. */
        readonly crashReport?: CrashReport;
    };

type NotRunReason =
    /** No slot of the backend server becomes free in time. */
    | "no-room"
    /** No backend server of the service is known, or none that may get requests in the state of its rollout. */
    | "no-backend"
    /** Backend servers refuse most requests of this kind; this one was not sent to any. */
    | "overload"
    /** Backend servers of the service are left out, or refuse requests, because their zone is evacuated. */
    | "evacuated"
    /** Backend servers crashed under the request, or another such request runs at the backend server chosen for it. */
    | "crashes-backends"
    /** The backend server is not (or no longer) on that host, or it is draining. */
    | "not-here"
    /** No connection to the backend server could be established. */
    | "unreachable"
    /** The link to the node on the backend server's host could not be used, or failed before the body was sent. */
    | "link-down"
    /** The backend server refused the request and states that it did not run. */
    | "shed"
    /** The node on the backend server's host, or the one that sent the request, ends before it could be answered. */
    | "stopping"
    /** The caller may have left before the request was sent: the nodes on its way read too late to know. */
    | "unconfirmed"
    /** The request waited too long, or its deadline passed, before it was sent. */
    | "expired"
    | "cancelled";

type UnknownReason =
    /** The connection to the backend server ended before a complete response, but it accepts others. */
    | "broken"
    /** The backend server ended: the connection broke and it accepts no others. */
    | "backend-ended"
    /** The link to the node on the backend server's host closed. */
    | "link-broken"
    | "timed-out"
    | "cancelled"
    /** A response without the backend server's signature, or a 408, 429 or 503 that does not state "not run". */
    | "unsigned"
    /** The node on the backend server's host does not respond to pings. */
    | "silent";
