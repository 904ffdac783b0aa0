import { IncomingMessage } from "node:http";
import { proxyLimits } from "./proxyLimits";
import { RequestBody } from "./RequestBody";

const readWhole = async (request: IncomingMessage): Promise<RequestBody> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return { kind: "held", bytes: Buffer.concat(chunks) };
};

/** Holds a small body; leaves a large one to be streamed. */
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
        return readWhole(request);
    }
    return { kind: "streamed", stream: request };
};
