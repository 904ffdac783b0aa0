/** A request as it is sent to the node on the host of the backend server that is to run it. */
export type CallRequest = {
    /** The caller's id of the request; the backend server repeats it in its response. */
    readonly requestId: string;
    readonly route: string;
    readonly service: string;
    /** The intended backend server: another one that now uses its address must not run the request. */
    readonly instanceId: string;
    /** The service of the host on which the caller runs. */
    readonly callerService: string;
    /** Name of the caller's client account; absent if the request has none. */
    readonly account?: string;
    /** True if the sending node is in another zone and its link is narrow: this zone's own callers go first. */
    readonly fromOtherZone?: boolean;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    /** See `requestFingerprint`. Absent if the sending node is of a release without it. */
    readonly fingerprint?: string;
    /** The highest rank of the crashes under the request that the sending node knows, see `CrashReport`. */
    readonly crashRank?: number;
    /** True if backend servers crashed under the request and it may run at one of them at a time, see `CrashVerdict`. */
    readonly isTrial?: boolean;
    /** 0 is the most urgent. A nested call has the priority of the request that it is made for, see `NestedCalls`. */
    readonly priority: number;
    /** True if the sending node will not try the request at another backend server. */
    readonly isLastAttempt?: boolean;
    /**
     * Requests a second that a cold backend server of the service tolerates, as known to the sending node; absent
     * without a limit. The receiver uses it until it has a configuration.
     */
    readonly coldRequestsPerSecond?: number;
    /** Time until the sending node ends; absent unless it stops. What can't be answered in it must not start. */
    readonly answerWithinMs?: number;
    /**
     * For how long the caller may have left without this node knowing, in ms. Absent if the sending node is of a release
     * without it.
     */
    readonly unconfirmedMs?: number;
    /** Time left for the response. */
    readonly remainingMs: number;
    /** Time left until the response counts as late; negative once it is late. */
    readonly targetRemainingMs: number;
};
