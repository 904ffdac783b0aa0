/** The complete response of a backend server. */
export type CallResponse = {
    readonly status: number;
    readonly reason: string;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
};
