/** Returns the smallest sample that at least this share of the samples do not exceed, or undefined without samples. */
export const percentile = (samples: readonly number[], share: number): number | undefined => {
    const sorted = [...samples].sort((left, right) => left - right);
    return sorted.at(Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1));
};
