import { IncomingHttpHeaders } from "node:http";

/** Headers that concern one connection only and are never passed on. */
const hopByHop: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Copies the headers that are passed on, without those that concern one connection or that `connection` names. */
export const forwardHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
    const named = new Set((headers.connection ?? "").split(",").map((name) => name.trim().toLowerCase()));
    const forwarded: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopByHop.has(name) && !named.has(name)) {
            forwarded[name] = value;
        }
    }
    return forwarded;
};
