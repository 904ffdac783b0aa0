import { HybridTimestamp } from "../core/HybridTimestamp";
import { Channel } from "./Channel";

/**
 * The content of every frame between processes, except the handshake and heartbeats: the addressed task, the sender's
 * hybrid clock and the message.
 */
export type Envelope = {
    readonly channel: Channel;
    readonly at: HybridTimestamp;
    readonly body: unknown;
};
