import { ExitCode } from "./ExitCode";

const exitCodeByStatus: Readonly<Record<number, ExitCode>> = {
    0: ExitCode.Unavailable,
    400: ExitCode.Refused,
    403: ExitCode.Forbidden,
    404: ExitCode.Refused,
    409: ExitCode.Conflict,
    421: ExitCode.Unavailable,
    422: ExitCode.Refused,
    503: ExitCode.Unknown,
};

/** Returns the exit code for a response of the administration API. Status 0 means that no replica answered. */
export const exitCodeOf = (status: number): ExitCode =>
    status === 200 ? ExitCode.Succeeded : exitCodeByStatus[status] ?? ExitCode.Failed;
