import { ServerResponse } from "node:http";
import { proxyHeaders } from "./proxyHeaders";
import { Refusal } from "./Refusal";

const MS_PER_SECOND = 1_000;

/**
 * Responds with a refusal. Its headers state whether the request may have run and how long to wait before a retry. If a
 * response has already begun, the connection is destroyed instead.
 */
export const sendRefusal = (response: ServerResponse, refusal: Refusal): void => {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    const { headers = {}, outcome, reason, retryAfterMs, status } = refusal;
    Object.entries(headers).forEach(([name, value]) => response.setHeader(name, value));
    response.setHeader(proxyHeaders.outcome, outcome);
    if (outcome === "not-run") {
        response.setHeader(proxyHeaders.notRun, "1");
    }
    if (retryAfterMs !== undefined) {
        response.setHeader(proxyHeaders.retryAfterMs, String(retryAfterMs));
        response.setHeader("retry-after", String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))));
    }
    response.writeHead(status, { "content-type": "application/json" });
    response.end(`${JSON.stringify({ error: outcome, message: reason })}\n`);
};
