import { hopByHopHeaders } from "../proxy/hopByHopHeaders";

/** The length is stated anew, since bodies are forwarded whole. */
const isDropped = (name: string): boolean => hopByHopHeaders.has(name) || name === "content-length";

const namedByConnection = (headers: readonly string[]): ReadonlySet<string> => {
    const named = new Set<string>();
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() === "connection") {
            headers[index + 1].split(",").forEach((name) => named.add(name.trim().toLowerCase()));
        }
    }
    return named;
};

/**
 * Removes the headers that must not be forwarded.
 * @param headers names and values by turns
 * @param also further lower-case names to remove
 */
const remove = (headers: readonly string[], also: ReadonlySet<string> = new Set()): readonly string[] => {
    const named = namedByConnection(headers);
    const kept: string[] = [];
    for (let index = 0; index < headers.length; index += 2) {
        const name = headers[index].toLowerCase();
        if (!isDropped(name) && !named.has(name) && !also.has(name)) {
            kept.push(headers[index], headers[index + 1]);
        }
    }
    return kept;
};

/** Which headers stay behind when a message is forwarded. */
export const connectionHeaders = { remove } as const;
