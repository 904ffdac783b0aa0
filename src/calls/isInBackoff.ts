import { BackendView } from "./BackendView";

/** Time for which a node that could not be reached is avoided; it doubles with each consecutive failure. */
const BASE_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 2_000;

/** True if the backend server could not be reached recently and is avoided for now. */
export const isInBackoff = ({ consecutiveUnreachable, updatedAtMs }: BackendView, nowMs: number): boolean => {
    if (consecutiveUnreachable === 0) {
        return false;
    }
    const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (consecutiveUnreachable - 1));
    return nowMs - updatedAtMs < backoffMs;
};
