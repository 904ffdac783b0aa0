import { MemberRecord } from "../../membership/MemberRecord";
import { MemberStatus } from "../../membership/MemberStatus";
import { admitSubscription } from "../admitSubscription";
import { chooseParents } from "../chooseParents";
import { distributionTimings } from "../distributionTimings";
import { SubscriptionAdmission } from "../SubscriptionAdmission";

const member = (id: string, zone: string): MemberRecord => ({
    id,
    zone,
    incarnation: 1,
    sequence: 1,
    status: MemberStatus.Alive,
    peerAddress: `${id}:1`,
    inboundAddress: `${id}:2`,
    endpoints: [],
});

const zoneOf = (zone: string, count: number): readonly MemberRecord[] =>
    Array.from({ length: count }, (_, index) => member(`${zone}-${index}`, zone));

const controls = ["control-1:1", "control-2:1", "control-3:1"];

const parentsOf = (ownId: string, ownZone: string, members: readonly MemberRecord[]): readonly string[] =>
    chooseParents({ ownId, ownZone, members, controls })
        .filter(({ acceptsReports }) => acceptsReports)
        .map(({ address }) => address);

describe("chooseParents", () => {
    const members = [...zoneOf("a", 353), ...zoneOf("b", 353)];
    const relays = members.filter(({ id, zone }) => controls.includes(parentsOf(id, zone, members)[0]));

    test("lists control replicas first only for the few relays of each zone", () => {
        expect(relays.filter(({ zone }) => zone === "a")).toHaveLength(8);
        expect(relays.filter(({ zone }) => zone === "b")).toHaveLength(8);
    });

    test("spreads the other members over the relays of their zone", () => {
        const counts = new Map<string, number>();
        for (const { id, zone } of zoneOf("a", 353)) {
            const [parent] = parentsOf(id, zone, members);
            counts.set(parent, (counts.get(parent) ?? 0) + 1);
        }
        const children = relays.filter(({ zone }) => zone === "a").map(({ peerAddress }) =>
            counts.get(peerAddress) ?? 0
        );
        expect(Math.max(...children)).toBeLessThan(90);
        expect(Math.min(...children)).toBeGreaterThan(15);
    });

    test("changes the parent of few members other than the children of a relay that is lost", () => {
        const [lost] = relays;
        const rest = members.filter(({ id }) => id !== lost.id);
        const moved = rest.filter(({ id, zone }) => parentsOf(id, zone, members)[0] !== parentsOf(id, zone, rest)[0]);
        const orphans = rest.filter(({ id, zone }) => parentsOf(id, zone, members)[0] === lost.peerAddress);
        expect(orphans.length).toBeGreaterThan(0);
        // Also moved: the member that becomes a relay in place of the lost one, and the members that now prefer it.
        expect(moved.length).toBeLessThan(orphans.length + 353 / 8 * 2);
    });

    test("lists relays of another zone only if its name sorts lower, so that relays form no cycle", () => {
        const listsOtherZone = (zone: string): boolean =>
            parentsOf(`${zone}-0`, zone, members).some((parent) => parent.startsWith(zone === "a" ? "b" : "a"));
        expect([listsOtherZone("a"), listsOtherZone("b")]).toEqual([false, true]);
    });
});

describe("admission of subscriptions", () => {
    test("admits a burst and spreads further subscriptions over the time that the parent needs for them", () => {
        let admission: SubscriptionAdmission = { tokens: distributionTimings.subscriptionBurst, updatedAtMs: 0 };
        const waits: number[] = [];
        for (let child = 0; child < 300; child += 1) {
            const result = admitSubscription(admission, 0, 0.5);
            admission = result.admission;
            waits.push(result.retryAfterMs);
        }
        expect(waits.filter((waitMs) => waitMs === 0)).toHaveLength(distributionTimings.subscriptionBurst);
        expect(Math.max(...waits)).toBeGreaterThanOrEqual(900);
        expect(admitSubscription(admission, 60_000, 0.5).retryAfterMs).toBe(0);
    });
});
