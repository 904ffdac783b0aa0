const PAIR = /([A-Za-z][A-Za-z0-9]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

const parseValue = (raw: string): string => {
    if (!raw.startsWith("\"")) {
        return raw;
    }
    try {
        return String(JSON.parse(raw));
    }
    catch {
        return raw;
    }
};

/**
 * Parses a line written by `formatLogLine`.
 * @returns the fields, or undefined if the line has no `at` or `event` field and so is no event
 */
export const parseLogLine = (line: string): ReadonlyMap<string, string> | undefined => {
    const fields = new Map<string, string>();
    for (const [, key, raw] of line.matchAll(PAIR)) {
        fields.set(key, parseValue(raw));
    }
    return fields.has("at") && fields.has("event") ? fields : undefined;
};
