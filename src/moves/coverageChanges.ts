import { ServiceReport } from "../distribution/ServiceReport";
import { Coverage } from "./Coverage";

/** A proxy that does not report for this long is no longer expected, while others of its zone report. */
const EXPECTATION_MS = 10_000;

/** A zone that is silent for this long is taken for removed. */
const SILENT_ZONE_FORGET_MS = 3_600_000;

type ZoneCoverage = Coverage["zones"] extends ReadonlyMap<string, infer Zone> ? Zone : never;

const initial: Coverage = { zones: new Map() };

const updateZone = (
    present: ZoneCoverage | undefined,
    report: ServiceReport | undefined,
    nowMs: number,
): ZoneCoverage | undefined => {
    const subscribers = report?.subscribers ?? 0;
    if (subscribers === 0) {
        if (!present) {
            return undefined;
        }
        const silentSinceMs = present.silentSinceMs ?? nowMs;
        const forgotten = nowMs - silentSinceMs >= SILENT_ZONE_FORGET_MS;
        return forgotten ? undefined : { ...present, subscribers: 0, holding: [], suppressing: 0, silentSinceMs };
    }
    const lasting = present && nowMs - present.expectedAtMs < EXPECTATION_MS && present.expected > subscribers;
    return {
        subscribers,
        holding: report?.holding ?? [],
        suppressing: report?.suppressing ?? 0,
        expected: lasting ? present.expected : subscribers,
        expectedAtMs: lasting ? present.expectedAtMs : nowMs,
        silentSinceMs: undefined,
    };
};

/** Takes in the present reports on one service. */
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

/** The coverage of one revision, in numbers of proxies. */
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

/** Follows how many proxies hold which revision, and which can't be reached. */
export const coverageChanges = { initial, update, summarize } as const;
