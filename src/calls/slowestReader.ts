/** A response that its caller has not read completely. */
type UnreadResponse = {
    readonly bytes: number;
    readonly sinceMs: number;
    /** Bytes of it that still wait in this process. */
    readonly waitingBytes: number;
};

/** A caller may take this long to begin reading before its pace says anything. */
const START_TIME_MS = 250;

/** Returns the response that is read most slowly. One that began just now is chosen only if there is no other. */
export const slowestReader = <Response extends UnreadResponse>(
    responses: readonly Response[],
    nowMs: number,
): Response | undefined => {
    const paceOf = ({ bytes, sinceMs, waitingBytes }: Response): number => {
        const elapsedMs = nowMs - sinceMs;
        return elapsedMs < START_TIME_MS ? Number.POSITIVE_INFINITY : (bytes - waitingBytes) / elapsedMs;
    };
    return responses.reduce<Response | undefined>(
        (slowest, other) => (slowest && paceOf(slowest) <= paceOf(other) ? slowest : other),
        undefined,
    );
};
