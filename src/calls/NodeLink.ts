import { PeerNetwork } from "../transport/PeerNetwork";
import { OutstandingRequest } from "./OutstandingRequest";

/** A link to a node, and the requests that wait for results on it. */
export type NodeLink = {
    readonly link: ReturnType<PeerNetwork["open"]>;
    readonly outstanding: Map<number, OutstandingRequest>;
    usedAtMs: number;
    /** When the link opened or a message last arrived on it; 0 before it opens. */
    lastReceivedAtMs: number;
    /** The last message that stated when it was sent, see `MessageTiming`, and when it was received. */
    lastStated: { readonly sentAtMs: number; readonly receivedAtMs: number; } | undefined;
    /** When the liveness check sent a ping, if no message has arrived since. */
    pingedAtMs: number | undefined;
    /** Called with true when the next message arrives, and with false when the link closes. */
    readonly livenessWaiters: Set<(isAlive: boolean) => void>;
};
