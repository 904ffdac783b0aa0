/** Every kind of failure that this project reports. The values are stable, because scripts match on them. */
export enum ErrorKind {
    CatalogueInvalid = "catalogue-invalid",
    VersionConflict = "version-conflict",
    EntryUnknown = "entry-unknown",
    /** The entry has no earlier version to roll back to, also if its first rollout is in progress. */
    MoveUnknown = "move-unknown",
    NotLeader = "not-leader",
    QuorumUnavailable = "quorum-unavailable",
    LogCorrupt = "log-corrupt",
    DiskFailed = "disk-failed",
    SettingsInvalid = "settings-invalid",
    FrameTooLarge = "frame-too-large",
    PeerRejected = "peer-rejected",
    DigestMismatch = "digest-mismatch",
    DanglingRoute = "dangling-route",
    OperatorRejected = "operator-rejected",
    MembershipRejected = "membership-rejected",
    RequestInvalid = "request-invalid",
}
