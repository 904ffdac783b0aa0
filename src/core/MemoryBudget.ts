/** What one user of a budget holds. */
type Holding = {
    bytes: number;
    readonly onEvicted: () => void;
};

/**
 * Limits the bytes that many users hold together. When they exceed the limit, the one that holds most gives up: a user
 * that never ends takes nothing from the many small ones.
 */
export class MemoryBudget {
    private readonly holdings = new Set<Holding>();
    private total = 0;

    public constructor(private readonly limitBytes: number) {}

    /** Bytes that all users hold. */
    public get heldBytes(): number {
        return this.total;
    }

    /** @param onEvicted is called when this user has to give up; it must release what it holds */
    public open(onEvicted: () => void) {
        const holding: Holding = { bytes: 0, onEvicted };
        return {
            /** Changes the number of bytes that this user holds. 0 releases them all. */
            resize: (bytes: number): void => this.resize(holding, bytes),
        } as const;
    }

    private resize(holding: Holding, bytes: number): void {
        this.total += bytes - holding.bytes;
        holding.bytes = bytes;
        if (bytes === 0) {
            this.holdings.delete(holding);
            return;
        }
        this.holdings.add(holding);
        while (this.total > this.limitBytes) {
            const largest = [...this.holdings].reduce((one, other) => (other.bytes > one.bytes ? other : one));
            this.resize(largest, 0);
            largest.onEvicted();
        }
    }
}
