import { RoutableBackend } from "./RoutableBackend";

/** Identifies one start of a backend server. */
type Start = Pick<RoutableBackend, "bornMs" | "instanceId">;

/**
 * A start is remembered for this long: longer than a backend server goes on after it began to leave. An id may be used
 * again by a later start that doesn't state when it started.
 */
const REMEMBERED_MS = 60_000;

const keyOf = ({ bornMs, instanceId }: Start): string => `${instanceId}/${bornMs}`;

/**
 * Remembers the backend servers that this node knows to leave from their results, whatever is announced about them: the
 * node on their host may have restarted and not know it any more.
 */
export class LeavingBackends {
    private readonly addedAtMs = new Map<string, number>();

    /** Adds a start. Returns false if it was known. */
    public add(start: Start, nowMs: number): boolean {
        if (this.has(start, nowMs)) {
            return false;
        }
        [...this.addedAtMs].filter(([, addedAtMs]) => nowMs - addedAtMs > REMEMBERED_MS).forEach(([key]) =>
            this.addedAtMs.delete(key)
        );
        this.addedAtMs.set(keyOf(start), nowMs);
        return true;
    }

    public has(start: Start, nowMs: number): boolean {
        const addedAtMs = this.addedAtMs.get(keyOf(start));
        return addedAtMs !== undefined && nowMs - addedAtMs <= REMEMBERED_MS;
    }
}
