/** How far the proxies of one service are, by zone. */
export type Coverage = {
    readonly zones: ReadonlyMap<string, ZoneCoverage>;
};

type ZoneCoverage = {
    readonly subscribers: number;
    readonly holding: readonly { readonly revision: number; readonly proxies: number; }[];
    readonly suppressing: number;
    /** The most subscribers seen lately: some may be between two parents. */
    readonly expected: number;
    readonly expectedAtMs: number;
    /** When the zone's last report vanished, undefined while it reports. */
    readonly silentSinceMs: number | undefined;
};
