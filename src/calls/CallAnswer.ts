/** The complete answer of a backend server. */
export type CallAnswer = {
    readonly status: number;
    readonly reason: string;
    /** Names and values by turns, without those that concern one connection only. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
};
