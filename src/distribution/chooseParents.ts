import { rankByRendezvous } from "../core/rankByRendezvous";
import { MemberRecord } from "../membership/MemberRecord";
import { ParentCandidate } from "./ParentCandidate";

/** Children that one relay should serve. A zone has one relay for each group of this many members. */
const CHILDREN_PER_RELAY = 48;

const MINIMUM_RELAYS = 2;

/**
 * Candidates listed of each kind of regular parent: relays of the same zone, control replicas, relays of other zones.
 * Each one that does not answer delays the next kind by a timeout.
 */
const CANDIDATES_PER_KIND = 3;

/** Members of the same zone, and as many of other zones, that are tried when no regular parent can be reached. */
const FALLBACK_COUNT = 4;

/** What the choice of a parent depends on. */
type ParentCriteria = {
    readonly ownId: string;
    readonly ownZone: string;
    /** Members that are alive or suspect, including this process. */
    readonly members: readonly MemberRecord[];
    /** Peer addresses of the control replicas. */
    readonly controls: readonly string[];
};

/** Returns the members of a zone that serve as relays: the first ones in the zone's rendezvous order. */
const relaysOf = (zone: string, members: readonly MemberRecord[]): readonly MemberRecord[] => {
    const inZone = members.filter((member) => member.zone === zone);
    const count = Math.max(MINIMUM_RELAYS, Math.ceil(inZone.length / CHILDREN_PER_RELAY));
    const ranked = rankByRendezvous(`relay/${zone}`, inZone.map(({ id }) => id)).slice(0, count);
    return inZone.filter(({ id }) => ranked.includes(id));
};

/** Returns the peer addresses of members in the rendezvous order of this process. */
const addressesByRank = (ownId: string, members: readonly MemberRecord[]): readonly string[] => {
    const addresses = new Map(members.map(({ id, peerAddress }) => [id, peerAddress]));
    return rankByRendezvous(ownId, [...addresses.keys()]).flatMap((id) => addresses.get(id) ?? []);
};

const toCandidates = (addresses: readonly string[], acceptsReports: boolean): readonly ParentCandidate[] =>
    addresses.map((address) => ({ address, acceptsReports }));

/** Keeps the first candidate of each address. */
const firstOfEachAddress = (candidates: readonly ParentCandidate[]): readonly ParentCandidate[] =>
    candidates.filter(({ address }, index) => candidates.findIndex((other) => other.address === address) === index);

/**
 * Lists the processes that may serve as parent, best first. Relays use control replicas; others use the relays of their
 * zone, then control replicas. Relays of zones whose names sort lower come next: since this order has no cycles,
 * no report travels in a cycle. Any other members come last and are used for configuration only.
 */
export const chooseParents = ({ controls, members, ownId, ownZone }: ParentCriteria): readonly ParentCandidate[] => {
    const others = members.filter(({ id }) => id !== ownId);
    const relays = relaysOf(ownZone, members);
    const isRelay = relays.some(({ id }) => id === ownId);
    const rankedControls = rankByRendezvous(ownId, controls).slice(0, CANDIDATES_PER_KIND);
    const lowerZones = [...new Set(others.map(({ zone }) => zone))].filter((zone) => zone < ownZone).sort();
    const lowerRelays = lowerZones.flatMap((zone) => addressesByRank(ownId, relaysOf(zone, others))).slice(
        0,
        CANDIDATES_PER_KIND,
    );
    const ownRelays = addressesByRank(ownId, relays).slice(0, CANDIDATES_PER_KIND);
    const regular = isRelay
        ? [...rankedControls, ...lowerRelays]
        : [...ownRelays, ...rankedControls, ...lowerRelays];
    const inZone = addressesByRank(ownId, others.filter(({ zone }) => zone === ownZone)).slice(0, FALLBACK_COUNT);
    const inOtherZones = addressesByRank(ownId, others.filter(({ zone }) => zone !== ownZone)).slice(0, FALLBACK_COUNT);
    return firstOfEachAddress([
        ...toCandidates(regular, true),
        ...toCandidates([...inZone, ...inOtherZones], false),
    ]);
};
