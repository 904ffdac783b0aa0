/** Upper bounds of the latency buckets, in milliseconds. The last bucket has no bound. */
export const latencyBucketsMs: readonly number[] = [
    1,
    2,
    4,
    8,
    16,
    32,
    64,
    128,
    256,
    512,
    1_024,
    2_048,
    4_096,
    Number.POSITIVE_INFINITY,
];
