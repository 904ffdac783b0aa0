/** How one attempt at a request ended. Used by load balancing, retries and the request statistics of a version. */
export enum AttemptOutcome {
    /** The backend server responded with a status below 500. */
    Answered = "answered",
    /** The backend server responded with a status of 500 or above. */
    Failed = "failed",
    /** Refused by the other side, which stated that the request did not run. */
    NotRun = "not-run",
    /** No connection could be opened, so the request did not run. */
    Unreachable = "unreachable",
    /** The connection failed after it was opened, so the request may have run. */
    Broken = "broken",
    /** No response in time; the request may have run. */
    TimedOut = "timed-out",
    /** The caller disconnected, or another attempt was answered first. */
    Cancelled = "cancelled",
}
