import * as fc from "fast-check";
import { chooseNeighbours } from "../chooseNeighbours";
import { compareVersions } from "../compareVersions";
import { MemberRecord } from "../MemberRecord";
import { membershipOperations } from "../membershipOperations";
import { MembershipState } from "../MembershipState";
import { membershipTimings } from "../membershipTimings";
import { MemberStatus } from "../MemberStatus";

const record = (id: string, change: Partial<MemberRecord> = {}): MemberRecord => ({
    id,
    zone: "a",
    incarnation: 1,
    sequence: 1,
    status: MemberStatus.Alive,
    peerAddress: `${id}:1`,
    inboundAddress: `${id}:2`,
    endpoints: [],
    ...change,
});

const create = (id = "self", change: Partial<MemberRecord> = {}): MembershipState =>
    membershipOperations.create(record(id, change), 0);

const merge = (state: MembershipState, ...records: readonly MemberRecord[]): MembershipState =>
    membershipOperations.merge(state, records, 0).state;

const statusOf = (state: MembershipState, id: string): MemberStatus | undefined => state.members.get(id)?.record.status;

describe("membership records", () => {
    test("mark a member as dead when a later one uses its address, whichever record arrives first", () => {
        const earlier = record("old", { peerAddress: "10.3.0.20:1" });
        const later = record("new", { peerAddress: "10.3.0.20:1", incarnation: 5 });
        for (const state of [merge(create(), earlier, later), merge(create(), later, earlier)]) {
            expect(statusOf(state, "old")).toBe(MemberStatus.Dead);
            expect(statusOf(state, "new")).toBe(MemberStatus.Alive);
        }
        const own = create("new", { peerAddress: "10.3.0.20:1", incarnation: 5 });
        expect(statusOf(merge(own, earlier), "old")).toBe(MemberStatus.Dead);
    });

    test("keep a member as left, whatever records of its incarnation arrive later", () => {
        const left = merge(create(), record("x", { sequence: 4, status: MemberStatus.Left }));
        const later = merge(
            left,
            record("x", { sequence: 9 }),
            record("x", { sequence: 9, status: MemberStatus.Suspect }),
        );
        expect(statusOf(later, "x")).toBe(MemberStatus.Left);
        expect(statusOf(merge(later, record("x", { incarnation: 2 })), "x")).toBe(MemberStatus.Alive);
    });

    test("mark a suspected member as dead after the timeout, unless the member refutes the suspicion", () => {
        const suspected = membershipOperations.suspect(merge(create(), record("x")), "x", 0).state;
        const refuted = merge(suspected, record("x", { sequence: 2 }));
        const { deadAfterMs } = membershipTimings;
        expect(statusOf(membershipOperations.expire(suspected, deadAfterMs - 1).state, "x")).toBe(MemberStatus.Suspect);
        expect(statusOf(membershipOperations.expire(suspected, deadAfterMs).state, "x")).toBe(MemberStatus.Dead);
        expect(statusOf(membershipOperations.expire(refuted, deadAfterMs).state, "x")).toBe(MemberStatus.Alive);
    });

    test("never mark a suspected member of another zone as dead, since its zone may be cut off", () => {
        const suspected = merge(create(), record("x", { zone: "b", status: MemberStatus.Suspect }));
        const { state } = membershipOperations.expire(suspected, membershipTimings.deadAfterMs * 10);
        expect(statusOf(state, "x")).toBe(MemberStatus.Suspect);
    });

    test("of this process refute false claims, also after a restart with a clock that went back", () => {
        const { updates } = membershipOperations.merge(create(), [record("self", { status: MemberStatus.Dead })], 0);
        expect(updates).toMatchObject([{ id: "self", sequence: 2, status: MemberStatus.Alive }]);
        const earlier = membershipOperations.merge(create(), [record("self", { incarnation: 50, sequence: 7 })], 0);
        expect(earlier.updates).toMatchObject([{ incarnation: 51, status: MemberStatus.Alive }]);
    });

    const arbitraryRecord = fc.record({
        id: fc.constantFrom("x", "y", "z"),
        incarnation: fc.integer({ min: 1, max: 3 }),
        sequence: fc.integer({ min: 1, max: 3 }),
        status: fc.constantFrom(MemberStatus.Alive, MemberStatus.Suspect, MemberStatus.Dead, MemberStatus.Left),
    }).map(({ id, ...change }) => record(id, change));

    test("are equal on two members after they compare versions, whatever records were lost, repeated or reordered", () => {
        fc.assert(
            fc.property(fc.array(arbitraryRecord), fc.array(arbitraryRecord), (first, second) => {
                let left = merge(create("p"), ...first, record("q"));
                let right = merge(create("q"), ...second, record("p"));
                const versionsOf = ({ members }: MembershipState) =>
                    [...members.values()].map(({ record: { id, incarnation, sequence, status } }) => ({
                        id,
                        incarnation,
                        sequence,
                        status,
                    }));
                const toLeft = compareVersions(right, versionsOf(left)).toSend;
                const toRight = compareVersions(left, versionsOf(right)).toSend;
                left = merge(left, ...toLeft);
                right = merge(right, ...toRight);
                expect(left.digest).toBe(right.digest);
            }),
            { seed: 8, numRuns: 500 },
        );
    });
});

describe("links between members", () => {
    const zones = ["a", "b", "c"];
    const ids = zones.flatMap((zone) => Array.from({ length: 120 }, (_, index) => ({ id: `${zone}${index}`, zone })));
    const all = ids.map(({ id, zone }) => record(id, { zone }));
    const linksOf = new Map(
        ids.map(({ id, zone }) => [id, chooseNeighbours(merge(create(id, { zone }), ...all)).map((peer) => peer.id)]),
    );

    test("connect all members of all zones with one another", () => {
        const undirected = new Map(ids.map(({ id }) => [id, new Set<string>()]));
        linksOf.forEach((peers, id) =>
            peers.forEach((peer) => {
                undirected.get(id)?.add(peer);
                undirected.get(peer)?.add(id);
            })
        );
        const reached = new Set(["a0"]);
        for (const id of reached) {
            undirected.get(id)?.forEach((peer) => reached.add(peer));
        }
        expect(reached.size).toBe(ids.length);
    });

    test("are few, and only two members of each zone open links to other zones", () => {
        const gateways = [...linksOf].filter(([id, peers]) => peers.some((peer) => peer[0] !== id[0]));
        expect(gateways).toHaveLength(zones.length * 2);
        expect(Math.max(...[...linksOf.values()].map((peers) => peers.length))).toBeLessThanOrEqual(3 + zones.length);
    });
});
