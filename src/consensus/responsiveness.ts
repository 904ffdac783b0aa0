import { ConsensusState } from "./ConsensusState";
import { PeerProgress } from "./PeerProgress";

type Peers = ConsensusState["peers"];

/** Missed quorum checks in a row after which a peer counts as unresponsive. A restart of a replica takes fewer. */
const UNRESPONSIVE_CHECKS = 4;

const countMissedCheck = ({ missedChecks, ...progress }: PeerProgress, responded: boolean): PeerProgress => ({
    ...progress,
    missedChecks: responded ? 0 : Math.min(missedChecks + 1, UNRESPONSIVE_CHECKS),
});

/** Counts one more missed check for each peer that is not in `contacts`, and none for the others. */
const afterQuorumCheck = (peers: Peers, contacts: readonly string[]): Peers =>
    new Map([...peers].map(([id, progress]) => [id, countMissedCheck(progress, contacts.includes(id))]));

/** Returns the ids of the peers that stopped responding to this leader; none if this replica doesn't lead. */
const unresponsiveIds = (peers: Peers): readonly string[] =>
    [...peers].filter(([, { missedChecks }]) => missedChecks >= UNRESPONSIVE_CHECKS).map(([id]) => id);

/** Counts the quorum checks that a leader's peers miss. */
export const responsiveness = { afterQuorumCheck, unresponsiveIds } as const;
