const FIRST_BYTES = 4_096;
const GROWTH = 4;

/**
 * Collects the bytes of one body in one buffer, however small the pieces are in which they arrive. The operating system
 * gives memory only to the part of a large buffer that has been written.
 */
export class GrowingBuffer {
    private buffer;
    private bytes = 0;

    /**
     * @param limitBytes most bytes that will be appended
     * @param expectedBytes exact number of bytes, if it is known
     */
    public constructor(private readonly limitBytes: number, expectedBytes: number | undefined) {
        this.buffer = Buffer.allocUnsafeSlow(expectedBytes ?? Math.min(FIRST_BYTES, limitBytes));
    }

    public get length(): number {
        return this.bytes;
    }

    public append(piece: Uint8Array): void {
        const neededBytes = this.bytes + piece.length;
        if (neededBytes > this.buffer.length) {
            const grown = Buffer.allocUnsafeSlow(
                Math.max(neededBytes, Math.min(this.limitBytes, this.buffer.length * GROWTH)),
            );
            this.buffer.copy(grown, 0, 0, this.bytes);
            this.buffer = grown;
        }
        this.buffer.set(piece, this.bytes);
        this.bytes = neededBytes;
    }

    /** Returns the collected bytes without copying them. */
    public view(): Buffer {
        return this.buffer.subarray(0, this.bytes);
    }
}
