/** Which revisions of one service its proxies hold, as counts of proxies by availability zone. */
export type Coverage = {
    readonly zones: ReadonlyMap<string, ZoneCoverage>;
};

type ZoneCoverage = {
    /** Proxies that subscribe to the service now. */
    readonly subscribers: number;
    /** How many proxies hold each revision. */
    readonly holding: readonly { readonly revision: number; readonly proxies: number; }[];
    /** Proxies that stopped sending requests to the candidate because of their own analysis. */
    readonly suppressing: number;
    /** The highest recent value of `subscribers`, which briefly omits proxies that are switching parents. */
    readonly expected: number;
    /** When `expected` was last set, in milliseconds since the Unix epoch. */
    readonly expectedAtMs: number;
    /** When the zone stopped reporting, in milliseconds since the Unix epoch; undefined while it reports. */
    readonly silentSinceMs: number | undefined;
};
