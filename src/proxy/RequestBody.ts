import { Readable } from "node:stream";

/** A request body: absent, held in memory so that it can be resent, streamed once, or too large to forward. */
export type RequestBody =
    | { readonly kind: "none"; }
    | { readonly kind: "held"; readonly bytes: Buffer; }
    | { readonly kind: "streamed"; readonly stream: Readable; }
    | { readonly kind: "too-large"; };
