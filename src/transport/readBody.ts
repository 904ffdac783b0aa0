import { IncomingMessage } from "node:http";

/** Reads a request's body. Returns undefined if it is larger than the limit; the rest is then read and discarded. */
export const readBody = async (request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> => {
    const { "content-length": length, "transfer-encoding": coding } = request.headers;
    if (coding === undefined && (length === undefined || length === "0")) {
        // Fast path: most requests have no body to wait for.
        request.resume();
        return Buffer.alloc(0);
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request) {
        bytes += (chunk as Buffer).length;
        if (bytes <= maximumBytes) {
            chunks.push(chunk as Buffer);
        }
    }
    return bytes <= maximumBytes ? Buffer.concat(chunks) : undefined;
};
