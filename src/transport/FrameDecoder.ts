import { die } from "../core/die";
import { ErrorKind } from "../core/ErrorKind";
import { createSessionCodec } from "./createSessionCodec";

const LENGTH_BYTES = 4;

/** Splits a byte stream into frames (4-byte big-endian length, then CBOR) and decodes them. */
export class FrameDecoder {
    private readonly codec = createSessionCodec();
    private chunks: Buffer[] = [];
    private available = 0;
    /** Bytes until the length of the next frame, or the whole frame, is known. */
    private neededBytes = LENGTH_BYTES;

    public constructor(public maximumFrameBytes: number) {}

    /** Bytes of the unfinished frame. */
    public get heldBytes(): number {
        return this.available;
    }

    /**
     * Adds received bytes and returns the messages that they complete.
     * @throws FilbertdealError of kind FrameTooLarge
     */
    public push(chunk: Buffer): readonly unknown[] {
        this.chunks.push(chunk);
        this.available += chunk.length;
        const messages: unknown[] = [];
        for (let frame = this.nextFrame(); frame; frame = this.nextFrame()) {
            // An empty frame is a heartbeat and carries no message.
            if (frame.length > 0) {
                messages.push(this.codec.decode(frame));
            }
        }
        return messages;
    }

    private nextFrame(): Buffer | undefined {
        if (this.available < this.neededBytes) {
            return undefined;
        }
        const bytes = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
        this.chunks = [bytes];
        const length = bytes.readUInt32BE(0);
        if (length > this.maximumFrameBytes) {
            die(ErrorKind.FrameTooLarge, length, this.maximumFrameBytes);
        }
        if (bytes.length < LENGTH_BYTES + length) {
            // The pieces of the frame are joined once, when all of them have arrived.
            this.neededBytes = LENGTH_BYTES + length;
            return undefined;
        }
        this.neededBytes = LENGTH_BYTES;
        const rest = bytes.subarray(LENGTH_BYTES + length);
        this.chunks = rest.length > 0 ? [rest] : [];
        this.available = rest.length;
        return bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length);
    }
}
