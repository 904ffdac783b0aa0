import { Membership } from "./Membership";

/** One entry of the replicated log. A new leader appends an empty one, so that entries of earlier terms can commit. */
export type LogEntry = {
    readonly index: number;
    readonly term: number;
    readonly payload: LogPayload;
};

type LogPayload =
    | { readonly kind: "empty"; }
    | { readonly kind: "command"; readonly command: unknown; }
    | { readonly kind: "membership"; readonly membership: Membership; };
