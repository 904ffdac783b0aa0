/** The settings of a selector on a host with a wide link, in the zone in which the tests' backend servers are. */
export const sampleZoneSettings = {
    zone: "a",
    linkBytesPerMs: 125_000,
    pricePerKilobyte: 0.005,
    onChoice: () => undefined,
} as const;
