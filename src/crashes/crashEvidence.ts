import { CrashReport } from "./CrashReport";
import { CrashVerdict } from "./CrashVerdict";

/** A crash of a backend server while it ran the request. */
type Crash = {
    readonly backendVersion: string;
    /** See `CrashReport`. */
    readonly rank: number;
    /** Time of the monotonic clock. */
    readonly atMs: number;
};

type Entry = {
    readonly service: string;
    /** By backend server start, in the order in which they became known. */
    readonly crashes: ReadonlyMap<string, Crash>;
    /** Crashes at or before this time no longer count. */
    readonly clearedAtMs: number;
};

/** The requests under which backend servers crashed, by fingerprint. */
type EvidenceState = ReadonlyMap<string, Entry>;

/** The next state, and what other members have to learn from it. */
type Change = {
    readonly state: EvidenceState;
    readonly news: readonly CrashReport[];
};

type VerdictInput = {
    readonly nowMs: number;
    /** The versions of the service's backend servers that may get requests; empty if none is known. */
    readonly versionsInService: ReadonlySet<string>;
};

/** Entries of this size take about 1 MB. */
const MAXIMUM_ENTRIES = 1_000;
const MAXIMUM_CRASHES = 8;
const MAXIMUM_TEXT_LENGTH = 200;

/** From so many crashes on a request is refused. */
const CRASHES_UNTIL_REFUSAL = 3;
const CRASHES_UNTIL_TRIAL = 2;

/**
 * Runs side by side that end within this time, ended for one common cause, such as the loss of a zone. They count as one
 * crash.
 */
const COMMON_CAUSE_MS = 50;

/** After a second crash, the backend servers that crashed are given this time to return before the next trial. */
const TRIAL_DELAY_MS = 5_000;

/** Doubles with each crash of a trial, up to the maximum. */
const REFUSAL_MS = 600_000;
const MAXIMUM_REFUSAL_MS = 3_600_000;

/** How long crashes count that do not suffice for a refusal, and all of them once a refusal has lapsed. */
const MEMORY_MS = 600_000;

const empty: EvidenceState = new Map();

const countingCrashes = ({ clearedAtMs, crashes }: Entry): readonly Crash[] =>
    [...crashes.values()].filter(({ atMs }) => atMs > clearedAtMs);

/** Counts crashes, those with a common cause once. */
const countCrashes = (crashes: readonly Crash[]): number => {
    const ordered = [...crashes].sort((left, right) => left.rank - right.rank || left.atMs - right.atMs);
    return ordered.filter(({ atMs, rank }, index) => {
        const previous = index > 0 ? ordered[index - 1] : undefined;
        return previous?.rank !== rank || atMs - previous.atMs >= COMMON_CAUSE_MS;
    }).length;
};

const newestOf = (crashes: readonly Crash[]): Crash | undefined =>
    crashes.reduce<Crash | undefined>(
        (newest, crash) => (newest && newest.atMs >= crash.atMs ? newest : crash),
        undefined,
    );

const newestAtMs = (entry: Entry): number => newestOf([...entry.crashes.values()])?.atMs ?? entry.clearedAtMs;

/** Time after the last crash during which a request is refused. */
const refusalMs = (count: number): number => {
    if (count < CRASHES_UNTIL_TRIAL) {
        return 0;
    }
    return count < CRASHES_UNTIL_REFUSAL
        ? TRIAL_DELAY_MS
        : Math.min(MAXIMUM_REFUSAL_MS, REFUSAL_MS * 2 ** (count - CRASHES_UNTIL_REFUSAL));
};

const forgetAtMs = (entry: Entry): number => {
    const count = countCrashes(countingCrashes(entry));
    return newestAtMs(entry) + MEMORY_MS + (count >= CRASHES_UNTIL_REFUSAL ? refusalMs(count) : 0);
};

/** Decides whether a request may be sent. */
const verdictOf = (
    state: EvidenceState,
    fingerprint: string,
    { nowMs, versionsInService }: VerdictInput,
): CrashVerdict => {
    const entry = state.get(fingerprint);
    if (!entry || nowMs >= forgetAtMs(entry)) {
        return { kind: "free" };
    }
    const crashes = countingCrashes(entry);
    const newest = newestOf(crashes);
    const count = countCrashes(crashes);
    if (!newest) {
        return { kind: "free" };
    }
    if (count < CRASHES_UNTIL_TRIAL) {
        return { kind: "suspect" };
    }
    // Whether another version crashes too is not known: it is tried like after two crashes.
    const isOtherVersion = versionsInService.size > 0 && !versionsInService.has(newest.backendVersion);
    const untilMs = newest.atMs + (isOtherVersion ? Math.min(TRIAL_DELAY_MS, refusalMs(count)) : refusalMs(count));
    return nowMs < untilMs ? { kind: "refused", retryAfterMs: untilMs - nowMs } : { kind: "trial" };
};

/** The highest rank of the known crashes of a request; 0 if there are none. */
const rankOf = (state: EvidenceState, fingerprint: string): number =>
    Math.max(0, ...[...state.get(fingerprint)?.crashes.values() ?? []].map(({ rank }) => rank));

const reportOf = (fingerprint: string, { clearedAtMs, crashes, service }: Entry, nowMs: number): CrashReport => ({
    fingerprint,
    service,
    crashes: [...crashes].map(([backend, { atMs, backendVersion, rank }]) => ({
        backend,
        backendVersion,
        rank,
        ageMs: Math.max(0, Math.round(nowMs - atMs)),
    })),
    ...(Number.isFinite(clearedAtMs) && { clearedAgeMs: Math.max(0, Math.round(nowMs - clearedAtMs)) }),
});

const isAcceptable = ({ crashes, fingerprint, service }: CrashReport): boolean =>
    [fingerprint, service, ...crashes.map(({ backend }) => backend)].every((text) =>
        text.length <= MAXIMUM_TEXT_LENGTH
    );

/** Removes what is forgotten and, beyond the limit, the entries with the fewest crashes, the oldest first. */
const limit = (entries: Map<string, Entry>, nowMs: number): EvidenceState => {
    for (const [fingerprint, entry] of entries) {
        if (nowMs >= forgetAtMs(entry)) {
            entries.delete(fingerprint);
        }
    }
    if (entries.size <= MAXIMUM_ENTRIES) {
        return entries;
    }
    const ranked = [...entries]
        .map(([fingerprint, entry]) => ({
            fingerprint,
            count: countCrashes(countingCrashes(entry)),
            atMs: newestAtMs(entry),
        }))
        .sort((left, right) => left.count - right.count || left.atMs - right.atMs);
    ranked.slice(0, entries.size - MAXIMUM_ENTRIES).forEach(({ fingerprint }) => entries.delete(fingerprint));
    return entries;
};

/** Adds the crashes of a report that are new, and clears those before its completed run if any still counted. */
const mergeReport = (known: Entry | undefined, report: CrashReport, nowMs: number): Entry => {
    const crashes = new Map(known?.crashes);
    for (const { ageMs, backend, backendVersion, rank } of report.crashes) {
        if (!crashes.has(backend)) {
            crashes.set(backend, { backendVersion, rank, atMs: nowMs - ageMs });
        }
    }
    const retained = new Map(
        [...crashes].sort(([, left], [, right]) => left.atMs - right.atMs).slice(-MAXIMUM_CRASHES),
    );
    const merged: Entry = {
        service: report.service,
        crashes: retained,
        clearedAtMs: known?.clearedAtMs ?? Number.NEGATIVE_INFINITY,
    };
    if (report.clearedAgeMs === undefined) {
        return merged;
    }
    const cleared = { ...merged, clearedAtMs: Math.max(merged.clearedAtMs, nowMs - report.clearedAgeMs) };
    // A clearing that changes nothing is not kept, so that members don't pass it on in circles.
    return countingCrashes(cleared).length < countingCrashes(merged).length ? cleared : merged;
};

const hasChanged = (known: Entry | undefined, merged: Entry): boolean =>
    [...merged.crashes.keys()].some((backend) => !known?.crashes.has(backend))
    || merged.clearedAtMs !== (known?.clearedAtMs ?? Number.NEGATIVE_INFINITY);

/** Takes in reports. Reports that change nothing are no news, whichever way and however often they arrive. */
const merge = (state: EvidenceState, reports: readonly CrashReport[], nowMs: number): Change => {
    const entries = new Map(state);
    const news = new Map<string, CrashReport>();
    for (const report of reports.filter(isAcceptable)) {
        const { fingerprint } = report;
        const known = entries.get(fingerprint);
        const merged = mergeReport(known, report, nowMs);
        if (nowMs < forgetAtMs(merged) && hasChanged(known, merged)) {
            entries.set(fingerprint, merged);
            news.set(fingerprint, reportOf(fingerprint, merged, nowMs));
        }
    }
    return news.size === 0 ? { state, news: [] } : { state: limit(entries, nowMs), news: [...news.values()] };
};

/** Clears a request whose run was completed, or that an operator lifts. */
const clear = (state: EvidenceState, fingerprint: string, nowMs: number): Change => {
    const entry = state.get(fingerprint);
    return entry && countingCrashes(entry).length > 0
        ? merge(state, [{ ...reportOf(fingerprint, entry, nowMs), clearedAgeMs: 0 }], nowMs)
        : { state, news: [] };
};

/** Everything known, for a member that may lack it. */
const reportAll = (state: EvidenceState, nowMs: number): readonly CrashReport[] =>
    [...state].map(([fingerprint, entry]) => reportOf(fingerprint, entry, nowMs));

/** Reports of the crashes that count against requests with enough of them for a refusal, the most first. */
const refusedReports = (state: EvidenceState, nowMs: number): readonly CrashReport[] =>
    [...state]
        .map(([fingerprint, { clearedAtMs, crashes, service }]) => ({
            fingerprint,
            service,
            clearedAtMs: Number.NEGATIVE_INFINITY,
            crashes: new Map([...crashes].filter(([, { atMs }]) => atMs > clearedAtMs)),
        }))
        .map((entry) => ({ entry, count: countCrashes([...entry.crashes.values()]) }))
        .filter(({ count, entry }) => count >= CRASHES_UNTIL_REFUSAL && nowMs < forgetAtMs(entry))
        .sort((left, right) => right.count - left.count)
        .map(({ entry }) => reportOf(entry.fingerprint, entry, nowMs));

/** The number of crashes that count against a request. */
const crashesOf = (state: EvidenceState, fingerprint: string): number => {
    const entry = state.get(fingerprint);
    return entry ? countCrashes(countingCrashes(entry)) : 0;
};

/** Pure functions on what is known of requests under which backend servers crashed. */
export const crashEvidence = {
    empty,
    verdictOf,
    rankOf,
    crashesOf,
    merge,
    clear,
    reportAll,
    refusedReports,
    maximumEntries: MAXIMUM_ENTRIES,
    refusalMs: REFUSAL_MS,
    trialDelayMs: TRIAL_DELAY_MS,
    memoryMs: MEMORY_MS,
} as const;
