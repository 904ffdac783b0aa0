/** A request of the administration API, read whole. */
export type AdminRequest = {
    readonly method: string;
    readonly path: readonly string[];
    readonly authorization: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly body: unknown;
};
