/** Deregistration of a backend server that arrived before any announcement of the same start of its process. */
export type DeregistrationNotice = {
    readonly id: string;
    /** Unix time in ms at which the backend server started; 0 if the notice did not state it. */
    readonly bornMs: number;
    /** Time of the node's monotonic clock at which the notice arrived. */
    readonly sinceMs: number;
};
