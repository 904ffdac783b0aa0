/** Exit codes of the operator's command line. The values are stable: scripts match on them. */
export enum ExitCode {
    Succeeded = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    Refused = 4,
    Unavailable = 5,
    Forbidden = 6,
    TakenBack = 7,
    Unknown = 8,
}
