/** If no neighbour has named a revision within this time, a node takes it that none remembers it. */
const FLOOR_WAIT_MS = 2_000;

/**
 * Holds a restarted node back until its configuration has reached the revision that it had before. Its neighbours
 * remember that revision for it. Without a neighbour in reach it waits a short time and then serves what it has.
 */
export class FloorGate {
    private floor = 0;
    private reached = 0;
    private open = false;

    public constructor(private readonly startedMs: number, private readonly hasNeighbours: boolean) {}

    /** A neighbour remembers this revision; 0 if it remembers none. */
    public learn(floor: number): void {
        if (!this.open) {
            this.floor = Math.max(this.floor, floor);
        }
    }

    /** The configuration has reached this revision. */
    public reach(revision: number): void {
        this.reached = Math.max(this.reached, revision);
    }

    public isOpen(nowMs: number): boolean {
        if (this.open) {
            return true;
        }
        const informed = this.floor > 0 || !this.hasNeighbours || nowMs - this.startedMs >= FLOOR_WAIT_MS;
        this.open = informed && this.reached > 0 && this.reached >= this.floor;
        return this.open;
    }
}
