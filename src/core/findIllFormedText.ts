/**
 * Returns the first string, or key of an object, in a JSON value that has an unpaired surrogate. Such text has no UTF-8
 * encoding, so it can't be stored or sent.
 */
export const findIllFormedText = (value: unknown): string | undefined => {
    const pending: unknown[] = [value];
    while (pending.length > 0) {
        const next = pending.pop();
        if (typeof next === "string" && !next.isWellFormed()) {
            return next;
        }
        if (typeof next === "object" && next) {
            for (const [key, field] of Object.entries(next)) {
                pending.push(key, field);
            }
        }
    }
    return undefined;
};
