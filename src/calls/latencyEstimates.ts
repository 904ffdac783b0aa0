/** How long attempts at requests of one route take. */
type LatencyEstimate = {
    readonly meanMs: number;
    /** Mean distance from the mean. */
    readonly deviationMs: number;
    readonly samples: number;
};

/** Weight of a new sample: about the last 40 attempts count. */
const WEIGHT = 0.025;

/** An answer that takes longer than the mean and this many deviations is rarely still coming. */
const DEVIATIONS = 4;

/** Before this many samples nothing is known. */
const MINIMUM_SAMPLES = 20;

const note = (present: LatencyEstimate | undefined, sampleMs: number): LatencyEstimate => {
    if (!present) {
        return { meanMs: sampleMs, deviationMs: sampleMs / 2, samples: 1 };
    }
    const distanceMs = sampleMs - present.meanMs;
    return {
        meanMs: present.meanMs + WEIGHT * distanceMs,
        deviationMs: present.deviationMs + WEIGHT * (Math.abs(distanceMs) - present.deviationMs),
        samples: present.samples + 1,
    };
};

/** After this time without an answer a second attempt is worth making; undefined while too little is known. */
const hedgeDelayMs = (estimate: LatencyEstimate | undefined): number | undefined =>
    estimate && estimate.samples >= MINIMUM_SAMPLES
        ? estimate.meanMs + DEVIATIONS * estimate.deviationMs
        : undefined;

/** Learns when an answer is overdue. */
export const latencyEstimates = { note, hedgeDelayMs } as const;
