/** Names of the headers used between callers, nodes and backend servers, in lower case. */
export type HeaderNames = {
    readonly requestId: string;
    /** Time left for the response, in milliseconds. */
    readonly deadlineMs: string;
    /** Id of the instance that is to run the request. */
    readonly expectedInstance: string;
    /** In responses: the backend server did not run the request. */
    readonly notExecuted: string;
    /** In responses: the backend server's signature. */
    readonly signature: string;
    /** In responses: the requests a second that the backend server takes. */
    readonly requestLimit: string;
    /** In responses: "1" if the backend server is about to stop. */
    readonly leaving: string;
    /** In health check responses: how long the backend server stays cold, in milliseconds. */
    readonly coldMs: string;
    /** In health check responses: id of the instance that responds. */
    readonly instanceId: string;
    /** The service of the host on which the caller runs. */
    readonly callerService: string;
    /** In requests to backend servers: name of the caller's client account. */
    readonly account: string;
};
