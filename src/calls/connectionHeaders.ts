/** Headers that concern one connection only. */
const hopByHop: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
]);

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
        if (!hopByHop.has(name) && !named.has(name) && !also.has(name)) {
            kept.push(headers[index], headers[index + 1]);
        }
    }
    return kept;
};

/** Which headers stay behind when a message is forwarded. The length is stated anew. */
export const connectionHeaders = { remove } as const;
