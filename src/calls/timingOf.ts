import { MessageTiming } from "./MessageTiming";
import { NodeLink } from "./NodeLink";

/** Returns the timing of a message that is sent on a link now. */
export const timingOf = ({ lastStated }: Pick<NodeLink, "lastStated">, nowMs: number): MessageTiming => ({
    sentAtMs: Math.round(nowMs),
    ...(lastStated && {
        lastReceived: { sentAtMs: lastStated.sentAtMs, heldMs: Math.round(nowMs - lastStated.receivedAtMs) },
    }),
});
