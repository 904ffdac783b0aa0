import { DepartureReport } from "./DepartureReport";
import { departures } from "./departures";
import { StoredDeparture } from "./StoredDeparture";

/** The departures that control stores, by the id of the node on their host. Hosts changed last are at the end. */
type Records = ReadonlyMap<string, readonly StoredDeparture[]>;

/** Departures of further hosts are not stored; those that were changed longest ago are dropped first. */
const MAXIMUM_HOSTS = 1_000;

/** Stores a departure and drops those past retention, so that the records don't grow with time. */
const apply = (records: Records, nodeId: string, departure: StoredDeparture, atMs: number): Records => {
    const next = new Map(records);
    next.delete(nodeId);
    next.set(nodeId, [...(records.get(nodeId) ?? []), departure]);
    const kept = [...next].map(([id, stored]) => [id, departures.add([], stored, atMs)] as const);
    return new Map(kept.filter(([, stored]) => stored.length > 0).slice(-MAXIMUM_HOSTS));
};

const toStored = ({ ageMs, bornMs, instanceId }: DepartureReport, wallMs: number): StoredDeparture => ({
    instanceId,
    bornMs,
    leftAtMs: Math.round(wallMs - ageMs),
});

/** Returns the departures from the host of a node. A wall clock that was set back makes none later than now. */
const reportsOf = (records: Records, nodeId: string, wallMs: number): readonly DepartureReport[] =>
    (records.get(nodeId) ?? []).map(({ bornMs, instanceId, leftAtMs }) => ({
        instanceId,
        bornMs,
        ageMs: Math.max(0, wallMs - leftAtMs),
    }));

/** Pure functions on the departures by which they outlast the end of all processes. */
export const departureRecords = { apply, toStored, reportsOf } as const;
