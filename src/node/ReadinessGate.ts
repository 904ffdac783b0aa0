/** Without a revision from a neighbour within this time, a node assumes that no neighbour remembers one. */
const MINIMUM_REVISION_WAIT_MS = 2_000;

/**
 * Keeps a restarted node from serving requests until its configuration has reached the revision that it had before the
 * restart, so that it does not route by an older one. Its neighbours in the membership protocol remember that revision.
 * If none reports one in time, the gate opens with the first configuration.
 */
export class ReadinessGate {
    private minimumRevision = 0;
    private currentRevision = 0;
    private open = false;

    public constructor(private readonly startedMs: number, private readonly hasNeighbours: boolean) {}

    /** Records the revision that a neighbour remembers for this node, 0 if none. Ignored once the gate is open. */
    public raiseMinimumRevision(revision: number): void {
        if (!this.open) {
            this.minimumRevision = Math.max(this.minimumRevision, revision);
        }
    }

    /** Records that the configuration has reached this revision. */
    public advanceTo(revision: number): void {
        this.currentRevision = Math.max(this.currentRevision, revision);
    }

    /** Whether requests may be served. The gate stays open once it has opened. */
    public isOpen(nowMs: number): boolean {
        if (this.open) {
            return true;
        }
        const minimumIsKnown = this.minimumRevision > 0 || !this.hasNeighbours
            || nowMs - this.startedMs >= MINIMUM_REVISION_WAIT_MS;
        this.open = minimumIsKnown && this.currentRevision > 0 && this.currentRevision >= this.minimumRevision;
        return this.open;
    }
}
