import { hashNumber } from "../core/hashNumber";
import { isNewerRecord } from "./isNewerRecord";
import { MemberRecord } from "./MemberRecord";
import { MembershipState } from "./MembershipState";
import { membershipTimings } from "./membershipTimings";
import { MemberStatus } from "./MemberStatus";

/** The next state and the updated records, which have to be sent to other members. */
type Result = {
    readonly state: MembershipState;
    readonly updates: readonly MemberRecord[];
};

const recordHash = ({ id, incarnation, sequence, status }: MemberRecord): number =>
    hashNumber(`${id}/${incarnation}/${sequence}/${status}`);

/**
 * Returns a copy of the state with the records stored and the members of `removedIds` deleted. The digest is the XOR of
 * the record hashes, so it does not depend on the order of changes.
 */
const replaceRecords = (
    state: MembershipState,
    records: readonly MemberRecord[],
    removedIds: readonly string[],
    nowMs: number,
): MembershipState => {
    const members = new Map(state.members);
    let digest = state.digest;
    const remove = (id: string): void => {
        const known = members.get(id);
        digest ^= known ? recordHash(known.record) : 0;
        members.delete(id);
    };
    removedIds.forEach(remove);
    for (const record of records) {
        remove(record.id);
        members.set(record.id, { record, recordedAtMs: nowMs });
        digest ^= recordHash(record);
    }
    return { ...state, members, changeCount: state.changeCount + 1, digest };
};

const create = (own: MemberRecord, nowMs: number): MembershipState =>
    replaceRecords({ ownId: own.id, members: new Map(), changeCount: 0, digest: 0 }, [own], [], nowMs);

/** Returns the record of this process. */
const ownRecord = (state: MembershipState): MemberRecord => {
    const known = state.members.get(state.ownId);
    if (!known) {
        throw new Error("the record of this process is missing from the membership state");
    }
    return known.record;
};

/**
 * Answers a claim, a record of this process that another member spread. If the claim is newer than the current record,
 * returns the current record with an incarnation and a sequence that override the claim. Returns undefined if the claim
 * is not newer, or if this process has left.
 */
const refute = (current: MemberRecord, claim: MemberRecord): MemberRecord | undefined => {
    if (!isNewerRecord(claim, current) || current.status === MemberStatus.Left) {
        return undefined;
    }
    const fromEarlierRun = claim.incarnation > current.incarnation || claim.status === MemberStatus.Left;
    const incarnation = fromEarlierRun ? claim.incarnation + 1 : current.incarnation;
    const sequence = Math.max(claim.sequence, current.sequence) + 1;
    return { ...current, incarnation, sequence };
};

/**
 * Returns, with the status `Dead`, the records of members whose address is used by a member of a later incarnation. A
 * host may be replaced by one with the same address and another id. Links to the old member would then still open, so
 * it would never be suspected.
 */
const findDisplaced = (state: MembershipState, updates: ReadonlyMap<string, MemberRecord>): readonly MemberRecord[] => {
    const records = new Map([...state.members].map(([id, { record }]) => [id, record]));
    updates.forEach((record, id) => records.set(id, record));
    const live = [...records.values()].filter(({ status }) => status < MemberStatus.Dead);
    const newestByAddress = new Map<string, MemberRecord>();
    for (const record of live) {
        const newest = newestByAddress.get(record.peerAddress);
        if (!newest || record.incarnation > newest.incarnation) {
            newestByAddress.set(record.peerAddress, record);
        }
    }
    return live
        .filter(({ id, peerAddress }) => newestByAddress.get(peerAddress)?.id !== id && id !== state.ownId)
        .map((record) => ({ ...record, status: MemberStatus.Dead }));
};

/** Merges records received from other members. `updates` holds those that changed the state. */
const merge = (state: MembershipState, records: readonly MemberRecord[], nowMs: number): Result => {
    const updates = new Map<string, MemberRecord>();
    for (const record of records) {
        const current = updates.get(record.id) ?? state.members.get(record.id)?.record;
        if (record.id === state.ownId && current) {
            const refutation = refute(current, record);
            if (refutation) {
                updates.set(record.id, refutation);
            }
            continue;
        }
        if (!current || isNewerRecord(record, current)) {
            updates.set(record.id, record);
        }
    }
    if (updates.size === 0) {
        return { state, updates: [] };
    }
    findDisplaced(state, updates).forEach((record) => updates.set(record.id, record));
    return { state: replaceRecords(state, [...updates.values()], [], nowMs), updates: [...updates.values()] };
};

/** Changes the record of this process and increments its sequence. */
const changeOwn = (state: MembershipState, change: Partial<MemberRecord>, nowMs: number): Result => {
    const current = ownRecord(state);
    const record = { ...current, ...change, sequence: current.sequence + 1 };
    return { state: replaceRecords(state, [record], [], nowMs), updates: [record] };
};

/** Marks a member as suspect if it is alive. Used for members whose link stays closed. */
const suspect = (state: MembershipState, id: string, nowMs: number): Result => {
    const current = state.members.get(id)?.record;
    if (!current || current.status !== MemberStatus.Alive || id === state.ownId) {
        return { state, updates: [] };
    }
    const record = { ...current, status: MemberStatus.Suspect };
    return { state: replaceRecords(state, [record], [], nowMs), updates: [record] };
};

/**
 * Marks suspects as dead after `deadAfterMs`, and deletes members that have been dead or have left for `forgetAfterMs`.
 * Only members of the same zone are marked as dead: members of an unreachable zone may be cut off by a network
 * partition.
 */
const expire = (state: MembershipState, nowMs: number): Result => {
    const ownZone = ownRecord(state).zone;
    const updates: MemberRecord[] = [];
    const forgottenIds: string[] = [];
    for (const { record, recordedAtMs } of state.members.values()) {
        const ageMs = nowMs - recordedAtMs;
        const overdue = record.status === MemberStatus.Suspect && ageMs >= membershipTimings.deadAfterMs;
        if (overdue && record.zone === ownZone) {
            updates.push({ ...record, status: MemberStatus.Dead });
        }
        if (record.status >= MemberStatus.Dead && ageMs >= membershipTimings.forgetAfterMs) {
            forgottenIds.push(record.id);
        }
    }
    if (updates.length === 0 && forgottenIds.length === 0) {
        return { state, updates };
    }
    return { state: replaceRecords(state, updates, forgottenIds, nowMs), updates };
};

/** Returns the members that are alive or suspect. */
const presentMembers = (state: MembershipState): readonly MemberRecord[] =>
    [...state.members.values()].map(({ record }) => record).filter(({ status }) => status < MemberStatus.Dead);

/** Pure functions on the membership state. Those that change it return the next state and the updated records. */
export const membershipOperations = { create, ownRecord, merge, changeOwn, suspect, expire, presentMembers } as const;
