/**
 * Returns the percentile by nearest rank: the smallest sample that at least the given share (0 to 1) of all
 * samples do not exceed. Returns undefined without samples.
 */
export const percentile = (samples: readonly number[], share: number): number | undefined => {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted.at(Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1));
};
