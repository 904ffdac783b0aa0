import { ConsensusMessage } from "./ConsensusMessage";
import { Membership } from "./Membership";

/** Sends messages to other replicas. Messages may be lost, duplicated and reordered. */
export abstract class ReplicaTransport {
    public abstract send(to: string, message: ConsensusMessage): void;

    /** Sets the replicas and their addresses. */
    public abstract setMembership(membership: Membership): void;
}
