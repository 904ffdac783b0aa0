import { rankByRendezvous } from "../core/rankByRendezvous";
import { MemberRecord } from "../membership/MemberRecord";

/** Children that one relay should serve. */
const CHILDREN_PER_RELAY = 48;

const MINIMUM_RELAYS = 2;

/** What a process knows when it looks for a parent. */
type ParentQuestion = {
    readonly ownId: string;
    readonly ownZone: string;
    /** Members that are not known to be gone, this process included. */
    readonly members: readonly MemberRecord[];
    /** Peer addresses of the control replicas. */
    readonly controls: readonly string[];
};

const relaysOf = (zone: string, members: readonly MemberRecord[]): readonly MemberRecord[] => {
    const inZone = members.filter((member) => member.zone === zone);
    const count = Math.max(MINIMUM_RELAYS, Math.ceil(inZone.length / CHILDREN_PER_RELAY));
    const ranked = rankByRendezvous(`relay/${zone}`, inZone.map(({ id }) => id)).slice(0, count);
    return inZone.filter(({ id }) => ranked.includes(id));
};

const addressesByRank = (ownId: string, members: readonly MemberRecord[]): readonly string[] => {
    const addresses = new Map(members.map(({ id, peerAddress }) => [id, peerAddress]));
    return rankByRendezvous(ownId, [...addresses.keys()]).flatMap((id) => addresses.get(id) ?? []);
};

/**
 * Lists the peer addresses that may serve as parent, best first. Relays ask control; others ask the relays of their
 * zone. The last resort is a relay of another zone; a relay takes only zones of lower name, so that no two relays
 * ever wait for each other.
 */
export const chooseParents = ({ controls, members, ownId, ownZone }: ParentQuestion): readonly string[] => {
    const relays = relaysOf(ownZone, members);
    const isRelay = relays.some(({ id }) => id === ownId);
    const rankedControls = rankByRendezvous(ownId, controls);
    const otherZones = [...new Set(members.map(({ zone }) => zone))].filter((zone) => zone < ownZone).sort();
    const foreign = otherZones.flatMap((zone) => addressesByRank(ownId, relaysOf(zone, members)));
    if (isRelay) {
        return [...rankedControls, ...foreign];
    }
    return [...addressesByRank(ownId, relays), ...rankedControls, ...foreign];
};
