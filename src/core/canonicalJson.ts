const sortKeys = (value: unknown): unknown => {
    if (Array.isArray(value)) {
        return value.map(sortKeys);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    const entries = Object.entries(value).filter(([, field]) => field !== undefined);
    entries.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(entries.map(([key, field]) => [key, sortKeys(field)]));
};

/** Serializes a value as JSON with sorted keys and without undefined fields, so that equal values give equal text. */
export const canonicalJson = (value: unknown): string => JSON.stringify(sortKeys(value));
