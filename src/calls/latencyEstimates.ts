/** How long attempts at requests of one route take. */
type LatencyEstimate = {
    readonly meanMs: number;
    /** Mean absolute deviation from the mean. */
    readonly deviationMs: number;
    readonly samples: number;
};

/** Weight of a new sample: about the last 40 attempts count. */
const SAMPLE_WEIGHT = 0.025;

/** A response is overdue after the mean and this many deviations: it rarely arrives later. */
const DEVIATIONS = 4;

/** Samples needed before the estimate is used. */
const MINIMUM_SAMPLES = 20;

const record = (estimate: LatencyEstimate | undefined, sampleMs: number): LatencyEstimate => {
    if (!estimate) {
        return { meanMs: sampleMs, deviationMs: sampleMs / 2, samples: 1 };
    }
    const differenceMs = sampleMs - estimate.meanMs;
    return {
        meanMs: estimate.meanMs + SAMPLE_WEIGHT * differenceMs,
        deviationMs: estimate.deviationMs + SAMPLE_WEIGHT * (Math.abs(differenceMs) - estimate.deviationMs),
        samples: estimate.samples + 1,
    };
};

/**
 * Returns the time without a response after which a second attempt is worth making, or undefined if there are too few
 * samples.
 */
const hedgeDelayMs = (estimate: LatencyEstimate | undefined): number | undefined =>
    estimate && estimate.samples >= MINIMUM_SAMPLES
        ? estimate.meanMs + DEVIATIONS * estimate.deviationMs
        : undefined;

/** Estimates when a response is overdue. */
export const latencyEstimates = { record, hedgeDelayMs } as const;
