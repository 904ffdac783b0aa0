/** Reading may take this long in one turn of the event loop before connections with more to read have to wait. */
const MAXIMUM_TURN_MS = 10;

/**
 * Takes turns between connections that have more to read than fits into one piece. Node.js reads up to 32 pieces of a
 * connection in a row; if they are costly to parse, nothing else runs for that long.
 */
export class ReadTurns {
    private readonly waiting: (() => void)[] = [];
    private startedMs: number | undefined;

    /** To be called before a piece is handled. */
    public begin(nowMs: number): void {
        if (this.startedMs === undefined) {
            this.startedMs = nowMs;
            setImmediate(() => {
                this.startedMs = undefined;
            });
        }
    }

    /** True if reading has taken its time in this turn. */
    public isOver(nowMs: number): boolean {
        return this.startedMs !== undefined && nowMs - this.startedMs >= MAXIMUM_TURN_MS;
    }

    /**
     * Waits for a later turn. One connection continues in each.
     * @param proceed continues reading
     */
    public wait(proceed: () => void): void {
        this.waiting.push(proceed);
        if (this.waiting.length === 1) {
            setImmediate(() => this.next());
        }
    }

    private next(): void {
        this.waiting[0]();
        this.waiting.shift();
        if (this.waiting.length > 0) {
            setImmediate(() => this.next());
        }
    }
}
