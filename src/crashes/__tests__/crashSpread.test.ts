import { chooseNeighbours } from "../../membership/chooseNeighbours";
import { MemberRecord } from "../../membership/MemberRecord";
import { membershipOperations } from "../../membership/membershipOperations";
import { MemberStatus } from "../../membership/MemberStatus";
import { createSessionCodec } from "../../transport/createSessionCodec";
import { CrashReport } from "../CrashReport";

/** The size to design for is 6,000, which takes half a minute: CRASH_SPREAD_MEMBERS=6000. */
const MEMBERS = Number(process.env.CRASH_SPREAD_MEMBERS ?? 2_000);
const ZONES = 17;

/** By then all hosts must know that a request crashes backend servers. */
const CONTACT_MS = 3_000;

/** A link between regions and a busy process, for each hop. */
const HOP_MS = 100;

/** What control may send on a node in a second, and the requests that run when a backend server crashes. */
const BYTES_PER_SECOND = 29_000;
const RUNNING_REQUESTS = 12;

const members = Array.from({ length: MEMBERS }, (_, index): MemberRecord => ({
    id: `node-${index}`,
    zone: `zone-${index % ZONES}`,
    incarnation: 1,
    sequence: 1,
    status: MemberStatus.Alive,
    peerAddress: `10.${index % ZONES}.${index >> 8}.${index & 255}:7`,
    inboundAddress: "",
    endpoints: [],
}));

const stateOf = (known: readonly MemberRecord[]) =>
    membershipOperations.merge(membershipOperations.create(known[0], 0), known, 0).state;

/** The links of the whole mesh, in both directions. */
const linkAll = (): ReadonlyMap<string, ReadonlySet<string>> => {
    const whole = stateOf(members);
    const links = new Map(members.map(({ id }) => [id, new Set<string>()]));
    for (let zone = 0; zone < ZONES; zone += 1) {
        const inZone = members.filter((member) => member.zone === `zone-${zone}`);
        const foreign = members[(zone + 1) % ZONES];
        // Only gateways use what is known of other zones.
        const small = stateOf([...inZone, foreign]);
        for (const { id } of inZone) {
            const isGateway = chooseNeighbours({ ...small, ownId: id }).includes(foreign);
            for (const neighbour of chooseNeighbours({ ...(isGateway ? whole : small), ownId: id })) {
                links.get(id)?.add(neighbour.id);
                links.get(neighbour.id)?.add(id);
            }
        }
    }
    return links;
};

/** Returns how many hops it takes from a member to the last one. */
const hopsToAll = (links: ReadonlyMap<string, ReadonlySet<string>>, from: string): number => {
    const reached = new Set([from]);
    let frontier = [from];
    let hops = 0;
    while (reached.size < MEMBERS) {
        frontier = frontier.flatMap((id) => [...links.get(id) ?? []]).filter((id) => !reached.has(id));
        if (frontier.length === 0) {
            return Number.POSITIVE_INFINITY;
        }
        frontier.forEach((id) => reached.add(id));
        hops += 1;
    }
    return hops;
};

describe("the report of a crash in a mesh of the planned size", () => {
    test("reaches every member in time, and costs a node little", () => {
        const links = linkAll();
        const hops = Math.max(...[0, MEMBERS >> 1, MEMBERS - 1].map((index) => hopsToAll(links, members[index].id)));
        const degrees = members.map(({ id }) => links.get(id)?.size ?? 0);
        const reports = Array.from({ length: RUNNING_REQUESTS }, (_, index): CrashReport => ({
            fingerprint: `Gy6-0ya8lyqNfFHaUj${index}`,
            service: "canopy-map",
            crashes: [{ backend: "i-7f3a91c2/1791861449093", backendVersion: "v1", rank: 1, ageMs: 12 }],
        }));
        const bytes = createSessionCodec().encode({ kind: "gossip", body: reports }).length;
        expect(hops * HOP_MS).toBeLessThanOrEqual(CONTACT_MS);
        expect(Math.max(...degrees) * bytes).toBeLessThanOrEqual(BYTES_PER_SECOND);
    });
});
