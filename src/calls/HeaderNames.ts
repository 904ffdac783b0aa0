/** The headers that callers, nodes and backend servers agree on, in lower case. */
export type HeaderNames = {
    readonly requestId: string;
    /** Milliseconds that are left for the answer. */
    readonly deadlineMs: string;
    /** The instance that is meant. */
    readonly expectedInstance: string;
    /** In answers: the backend server did not run the request. */
    readonly notExecuted: string;
    /** In answers: the backend server's signature. */
    readonly signature: string;
    /** The service of the host where the request began. */
    readonly callerService: string;
};
