import { Readable } from "node:stream";

/** A request's body: absent, held in memory so that it can be sent again, or streamed once. */
export type RequestBody =
    | { readonly kind: "none"; }
    | { readonly kind: "held"; readonly bytes: Buffer; }
    | { readonly kind: "streamed"; readonly stream: Readable; }
    | { readonly kind: "too-large"; };
