/** A term and when a replica first knew its leader, by its monotonic clock. */
type ObservedTerm = { readonly term: number; readonly seenMs: number; };

/** More terms than there can be elections within the validity of a token. */
const KEPT_TERMS = 16;

/** Adds a term whose leader is known. Terms that are not newer change nothing. */
const observe = (history: readonly ObservedTerm[], term: number, nowMs: number): readonly ObservedTerm[] =>
    term <= (history.at(-1)?.term ?? 0) ? history : [...history, { term, seenMs: nowMs }].slice(-KEPT_TERMS);

/**
 * Counts the leaders before that of the newest term who may have led within the last `periodMs`: those who were seen
 * in this time, the one before them, and one more if terms in between, or all before the start, were not seen.
 */
const countPredecessors = (history: readonly ObservedTerm[], periodMs: number, nowMs: number): number => {
    const earlier = history.slice(0, -1);
    const recent = earlier.filter(({ seenMs }) => nowMs - seenMs < periodMs);
    const relevant = history.slice(-recent.length - 2);
    const isComplete = relevant.length === recent.length + 2
        && relevant.every(({ term }, index) => term === relevant[0].term + index);
    return recent.length + 1 + (isComplete ? 0 : 1);
};

/** Recognizes leaders that followed each other quickly. */
export const termHistory = { observe, countPredecessors } as const;
