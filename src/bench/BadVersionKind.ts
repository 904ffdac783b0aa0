/** The kinds of faults that a bad version has. */
export enum BadVersionKind {
    /** Half of the requests fail. */
    Fails = "fails",
    /** Most requests fail from some seconds after the start. */
    FailsLater = "fails-later",
    /** All requests have a higher latency. */
    Slow = "slow",
    /** All requests to one path fail. */
    OneRoute = "one-route",
    /** All requests fail while the request rate is above a threshold. */
    UnderLoad = "under-load",
}
