import { IncomingMessage } from "node:http";
import { GrowingBuffer } from "../core/GrowingBuffer";
import { requestMemory } from "./requestMemory";

/**
 * Reads a request's body. Resolves to undefined if it is larger than the limit; the rest is then read and discarded.
 * Rejects if the connection closes before the end, also because too many bodies are being read: then the largest one
 * makes way.
 */
export const readBody = (request: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> => {
    const { "content-length": length, "transfer-encoding": coding } = request.headers;
    if (coding === undefined && (length === undefined || length === "0")) {
        // Fast path: most requests have no body to wait for.
        request.resume();
        return Promise.resolve(Buffer.alloc(0));
    }
    return new Promise((resolve, reject) => {
        const holding = requestMemory.open(() => request.destroy());
        let content: GrowingBuffer | undefined = new GrowingBuffer(maximumBytes, undefined);
        request.on("data", (piece: Buffer) => {
            if (content && content.length + piece.length > maximumBytes) {
                content = undefined;
                holding.resize(0);
            }
            if (content && !request.destroyed) {
                content.append(piece);
                holding.resize(content.length);
            }
        });
        request.on("end", () => {
            holding.resize(0);
            resolve(content?.view());
        });
        request.on("error", reject);
        request.on("close", () => {
            holding.resize(0);
            reject(new Error("the connection closed before the end of the body"));
        });
    });
};
