import { BackendLoad } from "./BackendLoad";
import { CallOrder } from "./CallOrder";
import { CallResult } from "./CallResult";

/** The messages between the node that took a request and the node beside the backend server. */
export type CallMessage =
    | { readonly kind: "order"; readonly number: number; readonly order: CallOrder; }
    /** The caller has left or has its answer. */
    | { readonly kind: "cancel"; readonly number: number; }
    /** Asks for a sign of life, because results have not come for a while. */
    | { readonly kind: "ping"; }
    | { readonly kind: "pong"; }
    | {
        readonly kind: "result";
        readonly number: number;
        readonly result: CallResult;
        readonly load: BackendLoad | undefined;
    };
