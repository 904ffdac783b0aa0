import { IncomingMessage } from "node:http";
import { proxyLimits } from "./proxyLimits";
import { RequestBody } from "./RequestBody";

const bufferBody = async (request: IncomingMessage): Promise<RequestBody> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return { kind: "held", bytes: Buffer.concat(chunks) };
};

/** Reads a small body into memory; a large one, or one of unknown length, is returned as a stream. */
export const readRequestBody = async (request: IncomingMessage): Promise<RequestBody> => {
    const { headers } = request;
    const length = headers["content-length"] === undefined ? undefined : Number(headers["content-length"]);
    if (length === undefined && headers["transfer-encoding"] === undefined) {
        return { kind: "none" };
    }
    if (length !== undefined && length > proxyLimits.maximumBodyBytes) {
        return { kind: "too-large" };
    }
    if (length !== undefined && length <= proxyLimits.maximumHeldBodyBytes) {
        return bufferBody(request);
    }
    return { kind: "streamed", stream: request };
};
