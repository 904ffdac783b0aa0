import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { EventLog } from "../core/EventLog";

/** Returns a function that logs each change of a replica's role, term or leader. */
export const createRoleLogger = (log: EventLog): (status: ConsensusStatus) => void => {
    let lastKey = "";
    return ({ leaderId, membership, role, term, votes }) => {
        const key = `${role}/${term}/${leaderId}`;
        if (key === lastKey) {
            return;
        }
        lastKey = key;
        log.info("role-changed", {
            role,
            term,
            leader: leaderId,
            voters: membership.voters.length,
            votes: votes.join(",") || undefined,
        });
    };
};
