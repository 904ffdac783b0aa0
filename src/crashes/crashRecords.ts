import { CrashReport } from "./CrashReport";
import { StoredCrashes } from "./StoredCrashes";

type Records = ReadonlyMap<string, StoredCrashes>;

/** A change of the records: what to store and what to remove, by fingerprint. */
type RecordChange = {
    readonly stored: readonly StoredCrashes[];
    readonly removed: readonly string[];
};

/** Records beyond this number are not stored; the refusals are still in force as long as any member runs. */
const MAXIMUM_RECORDS = 500;

const toStored = ({ crashes, fingerprint, service }: CrashReport, wallMs: number): StoredCrashes => ({
    fingerprint,
    service,
    crashes: crashes.map(({ ageMs, ...crash }) => ({ ...crash, atMs: Math.round(wallMs - ageMs) })),
});

const hasSameCrashes = (stored: StoredCrashes | undefined, { crashes }: CrashReport): boolean =>
    stored !== undefined
    && stored.crashes.length === crashes.length
    && crashes.every(({ backend }) => stored.crashes.some((crash) => crash.backend === backend));

/**
 * Returns how the records differ from the requests that are refused.
 * @param refused their reports, with the crashes that count
 */
const difference = (records: Records, refused: readonly CrashReport[], wallMs: number): RecordChange => {
    const current = refused.slice(0, MAXIMUM_RECORDS);
    const fingerprints = new Set(current.map(({ fingerprint }) => fingerprint));
    return {
        stored: current
            .filter((report) => !hasSameCrashes(records.get(report.fingerprint), report))
            .map((report) => toStored(report, wallMs)),
        removed: [...records.keys()].filter((fingerprint) => !fingerprints.has(fingerprint)),
    };
};

const apply = (records: Records, { removed, stored }: RecordChange): Records => {
    const next = new Map(records);
    removed.forEach((fingerprint) => next.delete(fingerprint));
    stored.forEach((record) => next.set(record.fingerprint, record));
    return next;
};

/** Returns the report of a record. A wall clock that was set back makes no crash later than now. */
const toReport = ({ crashes, fingerprint, service }: StoredCrashes, wallMs: number): CrashReport => ({
    fingerprint,
    service,
    crashes: crashes.map(({ atMs, ...crash }) => ({ ...crash, ageMs: Math.max(0, wallMs - atMs) })),
});

/** Pure functions on the records by which refusals outlast a restart of all processes. */
export const crashRecords = { difference, apply, toReport } as const;
