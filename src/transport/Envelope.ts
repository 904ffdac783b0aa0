import { HybridTimestamp } from "../core/HybridTimestamp";
import { Channel } from "./Channel";

/** What every frame between processes holds: the addressed task, the sender's clock and the message. */
export type Envelope = {
    readonly channel: Channel;
    readonly at: HybridTimestamp;
    readonly body: unknown;
};
