import { ErrorKind } from "../core/ErrorKind";
import { FilbertdealError } from "../core/FilbertdealError";
import { AdminResponse } from "./AdminResponse";

const statusByKind: Readonly<Partial<Record<ErrorKind, number>>> = {
    [ErrorKind.CatalogueInvalid]: 422,
    [ErrorKind.RequestInvalid]: 400,
    [ErrorKind.VersionConflict]: 409,
    [ErrorKind.EntryUnknown]: 404,
    [ErrorKind.MoveUnknown]: 409,
    [ErrorKind.MembershipRejected]: 409,
    [ErrorKind.OperatorRejected]: 403,
    [ErrorKind.NotLeader]: 421,
    [ErrorKind.QuorumUnavailable]: 503,
};

/** Converts an error to a response with its kind, and with a message that says what to do. */
export const errorResponse = (error: unknown): AdminResponse => {
    if (error instanceof FilbertdealError) {
        return { status: statusByKind[error.kind] ?? 500, body: { error: error.kind, message: error.message } };
    }
    const message = error instanceof Error ? error.message : String(error);
    return { status: 500, body: { error: "internal", message: `${message}. Look at the log of this replica` } };
};
