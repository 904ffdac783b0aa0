import { hopByHopHeaders } from "../proxy/hopByHopHeaders";

/** `Content-Length` is dropped too and set again later, since bodies are forwarded whole. */
const isDropped = (name: string): boolean => hopByHopHeaders.has(name) || name === "content-length";

const namedByConnection = (headers: readonly string[]): ReadonlySet<string> => {
    const names = new Set<string>();
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() === "connection") {
            headers[index + 1].split(",").forEach((name) => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
};

/**
 * Removes the headers that must not be forwarded.
 * @param headers alternating names and values
 * @param additional further lower-case names to remove
 */
const remove = (headers: readonly string[], additional: ReadonlySet<string> = new Set()): readonly string[] => {
    const names = namedByConnection(headers);
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        const name = headers[index].toLowerCase();
        if (!isDropped(name) && !names.has(name) && !additional.has(name)) {
            kept.push(headers[index], headers[index + 1]);
        }
    }
    return kept;
};

/** Handles headers that apply to one connection only. */
export const connectionHeaders = { remove } as const;
