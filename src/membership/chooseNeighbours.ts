import { groupBy } from "../core/groupBy";
import { rankByRendezvous } from "../core/rankByRendezvous";
import { MemberRecord } from "./MemberRecord";
import { membershipOperations } from "./membershipOperations";
import { MembershipState } from "./MembershipState";

/** Links that each member opens within its zone. Counting the links that others open, it has about twice as many. */
const LINKS_IN_ZONE = 3;

/** Members of each zone that open links to other zones. */
const GATEWAYS_PER_ZONE = 2;

const rankIds = (key: string, members: readonly MemberRecord[]): readonly string[] =>
    rankByRendezvous(key, members.map(({ id }) => id));

/** Chooses the members to open links to: a few of the same zone and, for a gateway, one of each other zone. */
export const chooseNeighbours = (state: MembershipState): readonly MemberRecord[] => {
    const own = membershipOperations.ownRecord(state);
    const others = membershipOperations.presentMembers(state).filter(({ id }) => id !== own.id);
    const zones = groupBy(others, ({ zone }) => zone);
    const inZone = zones.get(own.zone) ?? [];
    const chosen = new Set(rankIds(own.id, inZone).slice(0, LINKS_IN_ZONE));
    const gateways = rankIds(`gateway/${own.zone}`, [...inZone, own]).slice(0, GATEWAYS_PER_ZONE);
    if (gateways.includes(own.id)) {
        for (const [zone, members] of zones) {
            if (zone !== own.zone) {
                chosen.add(rankIds(`gateway/${zone}`, members)[gateways.indexOf(own.id) % members.length]);
            }
        }
    }
    return others.filter(({ id }) => chosen.has(id));
};
