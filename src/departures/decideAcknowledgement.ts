/** How far a departure has been stored outside the process that acknowledges it. */
type Progress = {
    /** Time since it was first sent. */
    readonly elapsedMs: number;
    /** True if the control group has committed it. */
    readonly isCommitted: boolean;
    readonly isControlConnected: boolean;
    /** Neighbours that it was sent to, and those of them that store it. */
    readonly neighbours: number;
    readonly confirmations: number;
};

/** The control group and the neighbours are both waited for this long. After that, one of them is enough. */
const PATIENCE_MS = 300;

/** A backend server waits one second for an acknowledgement. */
const LIMIT_MS = 800;

/** Neighbours that have to store it, so that it outlasts the end of one of them. */
const SUFFICIENT_CONFIRMATIONS = 2;

/**
 * Decides whether a departure may be acknowledged. It may not while only this process knows it, which may end the next
 * moment. Control stores it on disk, against the end of all processes at once; neighbours answer while control is away.
 */
export const decideAcknowledgement = (progress: Progress): "acknowledge" | "wait" | "refuse" => {
    const { confirmations, elapsedMs, isCommitted, isControlConnected, neighbours } = progress;
    if (isCommitted || confirmations > 0) {
        const awaitsControl = isControlConnected && !isCommitted;
        const awaitsNeighbours = confirmations < Math.min(SUFFICIENT_CONFIRMATIONS, neighbours);
        return elapsedMs >= PATIENCE_MS || (!awaitsControl && !awaitsNeighbours) ? "acknowledge" : "wait";
    }
    return elapsedMs >= LIMIT_MS ? "refuse" : "wait";
};
