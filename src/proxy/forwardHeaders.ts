import { IncomingHttpHeaders } from "node:http";
import { hopByHopHeaders } from "./hopByHopHeaders";

/** Copies the headers to forward, without hop-by-hop headers and those that the `connection` header names. */
export const forwardHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
    const named = new Set((headers.connection ?? "").split(",").map((name) => name.trim().toLowerCase()));
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHopHeaders.has(name) && !named.has(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
};
