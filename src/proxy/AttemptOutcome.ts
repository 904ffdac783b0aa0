/** How one attempt at a request ended, as the balancer and the retry policy see it. */
export enum AttemptOutcome {
    Answered = "answered",
    /** The backend server answered with a server error. */
    Failed = "failed",
    /** Refused with the proof that it did not run. */
    NotRun = "not-run",
    /** No connection could be opened: it did not run. */
    Unreachable = "unreachable",
    /** The connection broke after the request was sent: it may have run. */
    Broken = "broken",
    TimedOut = "timed-out",
    Cancelled = "cancelled",
}
