/** A response of the node itself to a request that it does not serve. */
export type RequestRefusal = {
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs?: number;
    /** Further headers of the response. */
    readonly headers?: Readonly<Record<string, string>>;
};
