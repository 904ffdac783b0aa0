/** What a process has heard, since its start, of departures that an earlier process of its host acknowledged. */
type Answers = {
    /** Time since the start of the process. */
    readonly elapsedMs: number;
    /** True if the control group answered and confirmed that its answer is complete. */
    readonly controlAnswered: boolean;
    readonly neighboursAnswered: number;
    /** Those of them that were told by the earlier process all that it knew. */
    readonly informedNeighbours: number;
};

/** The control group and the neighbours are both waited for this long. After that, one of them is enough. */
const PATIENCE_MS = 400;

/** A process that nobody answers who can know goes on after this time. */
const LIMIT_MS = 3_000;

/**
 * Returns whether a process knows the departures well enough to take the first announcement of a start for that of a
 * backend server in use. Until then it holds the announcement. Neighbours alone are not enough if all of them were
 * killed together with the earlier process.
 */
export const knowsDepartures = (
    { controlAnswered, elapsedMs, informedNeighbours, neighboursAnswered }: Answers,
): boolean => {
    if (elapsedMs >= LIMIT_MS) {
        return true;
    }
    if (controlAnswered) {
        return neighboursAnswered > 0 || elapsedMs >= PATIENCE_MS;
    }
    return informedNeighbours > 0 && elapsedMs >= PATIENCE_MS;
};
