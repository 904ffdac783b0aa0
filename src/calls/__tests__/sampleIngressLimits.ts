/** What callers may make a node hold in tests. */
export const sampleIngressLimits = {
    bodyBytes: 16_000_000,
    unreadResponseBytes: 16_000_000,
    connections: 100,
} as const;
