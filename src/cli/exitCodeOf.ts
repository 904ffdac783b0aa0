import { ExitCode } from "./ExitCode";

const byStatus: Readonly<Record<number, ExitCode>> = {
    0: ExitCode.Unavailable,
    400: ExitCode.Refused,
    403: ExitCode.Forbidden,
    404: ExitCode.Refused,
    409: ExitCode.Conflict,
    421: ExitCode.Unavailable,
    422: ExitCode.Refused,
    503: ExitCode.Unknown,
};

/** The exit code for an answer of the administration API. */
export const exitCodeOf = (status: number): ExitCode =>
    status === 200 ? ExitCode.Succeeded : byStatus[status] ?? ExitCode.Failed;
