/** The kinds of harm that a version is judged by, and how much worse than the baseline each may be. */
export const signals = [
    { name: "errors", slack: 0.01 },
    { name: "slowness", slack: 0.02 },
    { name: "refusals", slack: 0.05 },
    { name: "cancellations", slack: 0.02 },
    // Errors, slowness and cancellations together: a slow version shows as all three when deadlines are near.
    { name: "harm", slack: 0.03 },
] as const;
