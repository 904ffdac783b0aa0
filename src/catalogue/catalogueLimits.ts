/** Upper limits for the values of an entry. */
export const catalogueLimits = {
    maximumSteps: 20,
    maximumRoutes: 200,
    maximumPools: 50,
    maximumBakeMs: 86_400_000,
    maximumTimeoutMs: 600_000,
    maximumRetries: 5,
    maximumEntryBytes: 262_144,
} as const;
