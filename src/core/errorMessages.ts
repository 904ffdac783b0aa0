import { ErrorKind } from "./ErrorKind";

/**
 * The message of each error kind: what happened and, where there is one, the remedy.
 * The `%s` placeholders are filled, in order, with the details of the error.
 */
export const errorMessages: Readonly<Record<ErrorKind, string>> = {
    [ErrorKind.CatalogueInvalid]: "the entry was refused: %s. Correct the named field and apply again",
    [ErrorKind.VersionConflict]:
        "entry %s is at version %s, not at the expected version %s. Read it with `filbertdeal get`, merge and apply again",
    [ErrorKind.EntryUnknown]: "there is no entry named %s. List the entries with `filbertdeal status`",
    [ErrorKind.MoveUnknown]: "entry %s has no move in progress and no earlier version to take back to",
    [ErrorKind.NotLeader]: "this replica is not the leader. Ask %s, or retry shortly if no address is given",
    [ErrorKind.QuorumUnavailable]:
        "the command was not confirmed by a quorum in time: %s. Resend it with the same idempotency key to learn the outcome",
    [ErrorKind.LogCorrupt]:
        "the log in %s is corrupt at byte %s, before its end. Move the folder away and let this replica join as a learner",
    [ErrorKind.DiskFailed]: "writing to %s failed: %s. Free or replace the disk, then restart this replica",
    [ErrorKind.SettingsInvalid]: "the settings are not usable:\n%s",
    [ErrorKind.FrameTooLarge]:
        "a frame of %s bytes exceeds the limit of %s. Raise the limit on both ends or check the peer",
    [ErrorKind.PeerRejected]: "the peer %s failed authentication. Give both processes the same --secret",
    [ErrorKind.DigestMismatch]:
        "the content of %s does not match its digest. The update is dropped and asked for again",
    [ErrorKind.DanglingRoute]: "route %s of service %s points at pool %s, which this proxy does not hold",
    [ErrorKind.OperatorRejected]: "the operator token is not allowed to %s. Use a token whose scope covers it",
    [ErrorKind.MembershipRejected]: "the membership change was refused: %s",
    [ErrorKind.RequestInvalid]: "the request was refused: %s",
};
