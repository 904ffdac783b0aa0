import { IncomingHttpHeaders } from "node:http";
import { proxyHeaders } from "./proxyHeaders";
import { readHeader } from "./readHeader";

/** The time left until the deadline, in milliseconds: the caller's, if it stated one, and at most `limitMs`. */
export const readTimeoutMs = (headers: IncomingHttpHeaders, limitMs: number): number => {
    const requestedMs = Number(readHeader(headers, proxyHeaders.deadlineMs) ?? Number.NaN);
    return Number.isFinite(requestedMs) && requestedMs >= 0 ? Math.min(requestedMs, limitMs) : limitMs;
};
