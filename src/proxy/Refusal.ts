/** An answer that the node itself gives in place of a backend server's. */
export type Refusal = {
    readonly status: number;
    /** "not-run" is certain; "unknown" means that the request may have run. */
    readonly outcome: "not-run" | "unknown";
    readonly reason: string;
    readonly retryAfterMs?: number;
};
