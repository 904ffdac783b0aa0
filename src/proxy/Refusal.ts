/** An error response of the node itself, in place of a response of a backend server. */
export type Refusal = {
    /** HTTP status. */
    readonly status: number;
    /** "not-run": the request certainly did not run. "unknown": it may have run. */
    readonly outcome: "not-run" | "unknown";
    /** Explanation for the person who reads the response. */
    readonly reason: string;
    readonly retryAfterMs?: number;
    /** Further headers of the response. */
    readonly headers?: Readonly<Record<string, string>>;
};
