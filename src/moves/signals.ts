/**
 * The failure signals by which a version is analysed. `slack` is how far the candidate's share of affected requests may
 * exceed the baseline's.
 */
export const signals = [
    { name: "errors", slack: 0.01 },
    { name: "slowness", slack: 0.02 },
    { name: "refusals", slack: 0.05 },
    { name: "cancellations", slack: 0.02 },
    // Errors, slow requests and cancellations together: with short deadlines a slow version causes all three.
    { name: "harm", slack: 0.03 },
] as const;
