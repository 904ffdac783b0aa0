import { IncomingHttpHeaders } from "node:http";
import { proxyHeaders } from "./proxyHeaders";
import { readHeader } from "./readHeader";

/** The time left to answer, in milliseconds: the smaller of what the caller gave and `limitMs`. */
export const readDeadlineMs = (headers: IncomingHttpHeaders, limitMs: number): number => {
    const given = Number(readHeader(headers, proxyHeaders.deadlineMs) ?? Number.NaN);
    return Number.isFinite(given) && given >= 0 ? Math.min(given, limitMs) : limitMs;
};
