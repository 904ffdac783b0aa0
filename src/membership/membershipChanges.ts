import { hashNumber } from "../core/hashNumber";
import { isNewerRecord } from "./isNewerRecord";
import { MemberRecord } from "./MemberRecord";
import { MembershipState } from "./MembershipState";
import { membershipTimings } from "./membershipTimings";
import { MemberStatus } from "./MemberStatus";

/** The next state and the records that others should hear of. */
type Result = {
    readonly state: MembershipState;
    readonly news: readonly MemberRecord[];
};

const recordHash = ({ id, incarnation, sequence, status }: MemberRecord): number =>
    hashNumber(`${id}/${incarnation}/${sequence}/${status}`);

/** Stores records and drops members in one copy. The digest is a XOR of hashes, so that the order has no effect. */
const replace = (
    state: MembershipState,
    records: readonly MemberRecord[],
    dropped: readonly string[],
    nowMs: number,
): MembershipState => {
    const members = new Map(state.members);
    let digest = state.digest;
    const remove = (id: string): void => {
        const present = members.get(id);
        digest ^= present ? recordHash(present.record) : 0;
        members.delete(id);
    };
    dropped.forEach(remove);
    for (const record of records) {
        remove(record.id);
        members.set(record.id, { record, sinceMs: nowMs });
        digest ^= recordHash(record);
    }
    return { ...state, members, changes: state.changes + 1, digest };
};

const create = (own: MemberRecord, nowMs: number): MembershipState =>
    replace({ ownId: own.id, members: new Map(), changes: 0, digest: 0 }, [own], [], nowMs);

const own = (state: MembershipState): MemberRecord => {
    const known = state.members.get(state.ownId);
    if (!known) {
        throw new Error("the own record is always present");
    }
    return known.record;
};

/**
 * Answers news about this process itself that is newer than what it knows: it speaks with a higher number.
 * Returns undefined if the claim is old or true.
 */
const refutation = (present: MemberRecord, claim: MemberRecord): MemberRecord | undefined => {
    if (!isNewerRecord(claim, present) || present.status === MemberStatus.Left) {
        return undefined;
    }
    const earlierRun = claim.incarnation > present.incarnation || claim.status === MemberStatus.Left;
    const incarnation = earlierRun ? claim.incarnation + 1 : present.incarnation;
    const sequence = Math.max(claim.sequence, present.sequence) + 1;
    return { ...present, incarnation, sequence };
};

/**
 * Members whose address a later one has taken: they are gone, though links to the address open. Machines are replaced
 * at the same address under another name.
 */
const displaced = (state: MembershipState, news: ReadonlyMap<string, MemberRecord>): readonly MemberRecord[] => {
    const merged = new Map([...state.members].map(([id, { record }]) => [id, record]));
    news.forEach((record, id) => merged.set(id, record));
    const living = [...merged.values()].filter(({ status }) => status < MemberStatus.Dead);
    const newest = new Map<string, MemberRecord>();
    for (const record of living) {
        const other = newest.get(record.peerAddress);
        if (!other || record.incarnation > other.incarnation) {
            newest.set(record.peerAddress, record);
        }
    }
    return living
        .filter(({ id, peerAddress }) => newest.get(peerAddress)?.id !== id && id !== state.ownId)
        .map((record) => ({ ...record, status: MemberStatus.Dead }));
};

/** Takes in records heard from others and returns those that were news. */
const merge = (state: MembershipState, records: readonly MemberRecord[], nowMs: number): Result => {
    const news = new Map<string, MemberRecord>();
    for (const record of records) {
        const present = news.get(record.id) ?? state.members.get(record.id)?.record;
        if (record.id === state.ownId && present) {
            const refuted = refutation(present, record);
            if (refuted) {
                news.set(record.id, refuted);
            }
            continue;
        }
        if (!present || isNewerRecord(record, present)) {
            news.set(record.id, record);
        }
    }
    if (news.size === 0) {
        return { state, news: [] };
    }
    displaced(state, news).forEach((record) => news.set(record.id, record));
    return { state: replace(state, [...news.values()], [], nowMs), news: [...news.values()] };
};

/** Changes the own record and raises its sequence. */
const changeOwn = (state: MembershipState, change: Partial<MemberRecord>, nowMs: number): Result => {
    const present = own(state);
    const record = { ...present, ...change, sequence: present.sequence + 1 };
    return { state: replace(state, [record], [], nowMs), news: [record] };
};

/** Suspects a member whose links stay closed. */
const suspect = (state: MembershipState, id: string, nowMs: number): Result => {
    const present = state.members.get(id)?.record;
    if (!present || present.status !== MemberStatus.Alive || id === state.ownId) {
        return { state, news: [] };
    }
    const record = { ...present, status: MemberStatus.Suspect };
    return { state: replace(state, [record], [], nowMs), news: [record] };
};

/**
 * Takes suspects for dead once their time is over, and forgets those long gone. Only members of the own zone
 * are judged: another zone that can't be reached is cut off, not dead.
 */
const expire = (state: MembershipState, nowMs: number): Result => {
    const ownZone = own(state).zone;
    const news: MemberRecord[] = [];
    const forgotten: string[] = [];
    for (const { record, sinceMs } of state.members.values()) {
        const ageMs = nowMs - sinceMs;
        const overdue = record.status === MemberStatus.Suspect && ageMs >= membershipTimings.deadAfterMs;
        if (overdue && record.zone === ownZone) {
            news.push({ ...record, status: MemberStatus.Dead });
        }
        if (record.status >= MemberStatus.Dead && ageMs >= membershipTimings.forgetAfterMs) {
            forgotten.push(record.id);
        }
    }
    if (news.length === 0 && forgotten.length === 0) {
        return { state, news };
    }
    return { state: replace(state, news, forgotten, nowMs), news };
};

/** Members that were not heard to be gone. */
const present = (state: MembershipState): readonly MemberRecord[] =>
    [...state.members.values()].map(({ record }) => record).filter(({ status }) => status < MemberStatus.Dead);

/** The decisions of the membership: state and event in, state and news out. */
export const membershipChanges = { create, own, merge, changeOwn, suspect, expire, present } as const;
