/** Exit codes of the operator's command line. The values must not change, because scripts compare them. */
export enum ExitCode {
    Succeeded = 0,
    Failed = 1,
    Usage = 2,
    /** Version conflict, nothing to roll back, or a rejected membership change of the control replicas. */
    Conflict = 3,
    Refused = 4,
    Unavailable = 5,
    Forbidden = 6,
    RolledBack = 7,
    /** The outcome of the command is unknown; it may be resent with the same idempotency key. */
    Unknown = 8,
}
