/** Least size of a block. Larger blocks would waste memory on small contents. */
const MINIMUM_BLOCK_BYTES = 1_024;
const MAXIMUM_BLOCK_BYTES = 65_536;

/**
 * Collects bytes that arrive in pieces. Small pieces are copied into shared blocks, since a buffer object for each would
 * take many times the memory of its bytes.
 */
export class ByteAccumulator {
    private blocks: Buffer[] = [];
    /** Unused end of the last block. */
    private freeBytes = 0;
    private bytes = 0;

    public get length(): number {
        return this.bytes;
    }

    public append(piece: Buffer): void {
        let rest = piece;
        while (rest.length > 0) {
            if (this.freeBytes === 0) {
                const wanted = Math.min(MAXIMUM_BLOCK_BYTES, Math.max(MINIMUM_BLOCK_BYTES, this.bytes));
                this.freeBytes = Math.max(wanted, rest.length);
                this.blocks.push(Buffer.allocUnsafeSlow(this.freeBytes));
            }
            const block = this.blocks[this.blocks.length - 1];
            const copied = rest.copy(block, block.length - this.freeBytes);
            this.freeBytes -= copied;
            this.bytes += copied;
            rest = rest.subarray(copied);
        }
    }

    /** Returns the collected bytes, and starts again without any. */
    public take(): Buffer {
        const [first] = this.blocks;
        const all = this.blocks.length === 1 ? first.subarray(0, this.bytes) : Buffer.concat(this.blocks, this.bytes);
        this.clear();
        return all;
    }

    public clear(): void {
        this.blocks = [];
        this.freeBytes = 0;
        this.bytes = 0;
    }
}
