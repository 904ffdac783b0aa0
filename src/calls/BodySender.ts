import { transferQueue } from "./transferQueue";

/** Sends the body of an offered request in chunks, as far as the receiver allows it. */
export class BodySender {
    private sentBytes = 0;
    private complete = false;

    /** @param send sends a chunk and returns false if the link is closed */
    public constructor(private readonly body: Uint8Array, private readonly send: (chunk: Uint8Array) => boolean) {}

    /** True once the last byte has been sent. Until then, the request can't have run. */
    public get isComplete(): boolean {
        return this.complete;
    }

    /** Sends as many more bytes as the receiver allows. An empty body is sent as one empty chunk. */
    public addCredit(bytes: number): void {
        const endBytes = Math.min(this.body.length, this.sentBytes + bytes);
        while (!this.complete && (this.sentBytes < endBytes || this.body.length === 0)) {
            const chunkEnd = Math.min(endBytes, this.sentBytes + transferQueue.chunkBytes);
            if (!this.send(this.body.subarray(this.sentBytes, chunkEnd))) {
                return;
            }
            this.sentBytes = chunkEnd;
            this.complete = chunkEnd === this.body.length;
        }
    }
}
