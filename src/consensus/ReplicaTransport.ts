import { ConsensusMessage } from "./ConsensusMessage";
import { Membership } from "./Membership";

/** Carries messages between replicas. Messages may be lost, doubled and reordered. */
export abstract class ReplicaTransport {
    public abstract send(to: string, message: ConsensusMessage): void;

    /** Tells the transport which replicas there are and where. */
    public abstract follow(membership: Membership): void;
}
