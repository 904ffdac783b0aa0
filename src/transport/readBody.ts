import { IncomingMessage } from "node:http";

/** Reads a body. Returns undefined if it is larger than the limit; the rest of it is read and dropped. */
export const readBody = async (request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> => {
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
