import { ServerResponse } from "node:http";
import { readHeader } from "../proxy/readHeader";
import { RequestRefusal } from "./RequestRefusal";

/** Tells a caller why its request was refused or could not be completed. */
export const writeRefusal = (
    response: ServerResponse,
    { headers = {}, reason, retryAfterMs, status }: RequestRefusal,
    requestIdHeader: string,
    isLast: boolean,
): void => {
    Object.entries(headers).forEach(([name, value]) => response.setHeader(name, value));
    const requestId = readHeader(response.req.headers, requestIdHeader);
    if (requestId !== undefined) {
        response.setHeader(requestIdHeader, requestId);
    }
    if (retryAfterMs !== undefined) {
        response.setHeader("Retry-After", (retryAfterMs / 1_000).toFixed(3));
    }
    if (isLast) {
        response.setHeader("Connection", "close");
    }
    const text = `${JSON.stringify({ error: reason })}\n`;
    response.setHeader("Content-Type", "application/json");
    response.setHeader("Content-Length", String(Buffer.byteLength(text)));
    response.writeHead(status);
    response.end(text);
};
