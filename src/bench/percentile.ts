/**
 * Returns the percentile by nearest rank: the smallest sample such that at least the share, from 0 to 1, of all samples
 * is not above it. Returns undefined without samples.
 */
export const percentile = (samples: readonly number[], share: number): number | undefined => {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted.at(Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1));
};
