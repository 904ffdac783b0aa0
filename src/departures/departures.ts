import { Departure } from "./Departure";
import { DepartureReport } from "./DepartureReport";

type Departures = readonly Departure[];

/** Identifies one start of a backend server. */
type Start = Pick<Departure, "bornMs" | "instanceId">;

/** Longer than a backend server goes on after it left, and than its messages may be delayed. */
const RETENTION_MS = 60_000;

/** Backend servers follow one another on a host, so older ones are gone. */
const MAXIMUM_PER_HOST = 16;

const MAXIMUM_ID_LENGTH = 200;

const isKept = ({ leftAtMs }: Departure, nowMs: number): boolean => nowMs - leftAtMs < RETENTION_MS;

const isSame = (one: Start, other: Start): boolean =>
    one.instanceId === other.instanceId && one.bornMs === other.bornMs;

/** Adds departures and drops those past retention. A known one keeps the time at which it left. */
const add = (current: Departures, added: Departures, nowMs: number): Departures => {
    const news = added.filter((departure, index) =>
        !current.some((known) => isSame(known, departure))
        && added.findIndex((other) => isSame(other, departure)) === index
    );
    return [...current, ...news].filter((departure) => isKept(departure, nowMs)).slice(-MAXIMUM_PER_HOST);
};

/**
 * Returns the departure of a start, if it left. Earlier starts of the same instance are over as well, and one that
 * doesn't state when it began, whose `bornMs` is 0, counts as earlier.
 */
const find = (current: Departures, { bornMs, instanceId }: Start, nowMs: number): Departure | undefined =>
    current.find((departure) =>
        departure.instanceId === instanceId
        && bornMs <= departure.bornMs
        && isKept(departure, nowMs)
    );

const toReports = (current: Departures, nowMs: number): readonly DepartureReport[] =>
    current
        .filter((departure) => isKept(departure, nowMs))
        .map(({ bornMs, instanceId, leftAtMs }) => ({ bornMs, instanceId, ageMs: Math.round(nowMs - leftAtMs) }));

const isReport = ({ ageMs, bornMs, instanceId }: DepartureReport): boolean =>
    typeof instanceId === "string" && instanceId.length <= MAXIMUM_ID_LENGTH && Number.isSafeInteger(bornMs)
    && ageMs >= 0;

/** Reads the reports of another process, without those that can't be right. */
const fromReports = (reports: readonly DepartureReport[], nowMs: number): Departures =>
    reports
        .filter(isReport)
        .map(({ ageMs, bornMs, instanceId }) => ({ bornMs, instanceId, leftAtMs: nowMs - ageMs }));

/** Pure functions on the departures from one host, oldest first. */
export const departures = { retentionMs: RETENTION_MS, isKept, add, find, toReports, fromReports } as const;
