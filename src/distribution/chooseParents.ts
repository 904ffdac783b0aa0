import { rankByRendezvous } from "../core/rankByRendezvous";
import { MemberRecord } from "../membership/MemberRecord";
import { ParentCandidate } from "./ParentCandidate";

/** Children that one relay should serve. */
const CHILDREN_PER_RELAY = 48;

const MINIMUM_RELAYS = 2;

/** Parents of each kind that are tried. Each that is silent costs time before the next kind has its turn. */
const CHOICES = 3;

/** Members of the own zone, and as many of others, that are tried when no regular parent can be reached. */
const LAST_RESORTS = 4;

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

const toCandidates = (addresses: readonly string[], takesReports: boolean): readonly ParentCandidate[] =>
    addresses.map((address) => ({ address, takesReports }));

/** Keeps the first candidate of each address. */
const distinct = (candidates: readonly ParentCandidate[]): readonly ParentCandidate[] =>
    candidates.filter(({ address }, index) => candidates.findIndex((other) => other.address === address) === index);

/**
 * Lists the processes that may serve as parent, best first. Relays ask control; others ask the relays of their zone.
 * When control is out of reach, relays of zones of lower name come next: along that order, reports never go in
 * circles. The last resort is any other member, for configuration only.
 */
export const chooseParents = ({ controls, members, ownId, ownZone }: ParentQuestion): readonly ParentCandidate[] => {
    const others = members.filter(({ id }) => id !== ownId);
    const relays = relaysOf(ownZone, members);
    const isRelay = relays.some(({ id }) => id === ownId);
    const rankedControls = rankByRendezvous(ownId, controls).slice(0, CHOICES);
    const lowerZones = [...new Set(others.map(({ zone }) => zone))].filter((zone) => zone < ownZone).sort();
    const lowerRelays = lowerZones.flatMap((zone) => addressesByRank(ownId, relaysOf(zone, others))).slice(0, CHOICES);
    const ownRelays = addressesByRank(ownId, relays).slice(0, CHOICES);
    const regular = isRelay
        ? [...rankedControls, ...lowerRelays]
        : [...ownRelays, ...rankedControls, ...lowerRelays];
    const inZone = addressesByRank(ownId, others.filter(({ zone }) => zone === ownZone)).slice(0, LAST_RESORTS);
    const outside = addressesByRank(ownId, others.filter(({ zone }) => zone !== ownZone)).slice(0, LAST_RESORTS);
    return distinct([...toCandidates(regular, true), ...toCandidates([...inZone, ...outside], false)]);
};
