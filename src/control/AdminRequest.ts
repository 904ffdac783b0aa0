/** A request to the administration API. The body is parsed JSON. */
export type AdminRequest = {
    readonly method: string;
    /** The decoded segments of the path. */
    readonly path: readonly string[];
    /** The value of the `authorization` header. */
    readonly authorization: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: unknown;
};
