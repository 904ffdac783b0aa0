import { ServiceReport } from "../distribution/ServiceReport";
import { Coverage } from "./Coverage";

/** A proxy that has not reported for this long is no longer expected, as long as others of its zone report. */
const EXPECTED_COUNT_RETENTION_MS = 10_000;

/** A zone that has not reported for this long is treated as removed. */
const SILENT_ZONE_RETENTION_MS = 3_600_000;

type ZoneCoverage = Coverage["zones"] extends ReadonlyMap<string, infer Zone> ? Zone : never;

const initial: Coverage = { zones: new Map() };

const updateZone = (
    current: ZoneCoverage | undefined,
    report: ServiceReport | undefined,
    nowMs: number,
): ZoneCoverage | undefined => {
    const subscribers = report?.subscribers ?? 0;
    if (subscribers === 0) {
        if (!current) {
            return undefined;
        }
        const silentSinceMs = current.silentSinceMs ?? nowMs;
        const expired = nowMs - silentSinceMs >= SILENT_ZONE_RETENTION_MS;
        return expired ? undefined : { ...current, subscribers: 0, holding: [], suppressing: 0, silentSinceMs };
    }
    const keepExpected = current && nowMs - current.expectedAtMs < EXPECTED_COUNT_RETENTION_MS
        && current.expected > subscribers;
    return {
        subscribers,
        holding: report?.holding ?? [],
        suppressing: report?.suppressing ?? 0,
        expected: keepExpected ? current.expected : subscribers,
        expectedAtMs: keepExpected ? current.expectedAtMs : nowMs,
        silentSinceMs: undefined,
    };
};

/** Updates the coverage of one service from its latest reports, one for each zone that reports. */
const update = (coverage: Coverage, reports: readonly ServiceReport[], nowMs: number): Coverage => {
    const byZone = new Map(reports.map((report) => [report.zone, report]));
    const zones = new Map<string, ZoneCoverage>();
    for (const zone of new Set([...coverage.zones.keys(), ...byZone.keys()])) {
        const next = updateZone(coverage.zones.get(zone), byZone.get(zone), nowMs);
        if (next) {
            zones.set(zone, next);
        }
    }
    return { zones };
};

const sumOver = (coverage: Coverage, count: (zone: ZoneCoverage) => number): number =>
    [...coverage.zones.values()].reduce((sum, zone) => sum + count(zone), 0);

/** Counts the proxies that hold at least the given revision, and those whose state is unknown. */
const summarize = (coverage: Coverage, revision: number) => ({
    expected: sumOver(coverage, ({ expected }) => expected),
    holding: sumOver(
        coverage,
        ({ holding }) =>
            holding.filter((count) => count.revision >= revision).reduce((sum, { proxies }) => sum + proxies, 0),
    ),
    suppressing: sumOver(coverage, ({ suppressing }) => suppressing),
    unknown: sumOver(coverage, ({ expected, silentSinceMs }) => (silentSinceMs === undefined ? 0 : expected)),
    silentZones: [...coverage.zones].filter(([, zone]) => zone.silentSinceMs !== undefined).map(([zone]) => zone),
} as const);

/** Tracks how many proxies hold which revision, and which zones have stopped reporting. */
export const coverageTracking = { initial, update, summarize } as const;
