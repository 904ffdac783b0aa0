import { Clock } from "../core/Clock";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { linkDelay } from "./linkDelay";
import { MessageTiming } from "./MessageTiming";

/** Dependencies of the estimate. */
type LinkTransitOptions = {
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "unreadMs">;
};

/** Estimates for how long the messages of one peer were under way, from the times that they state. */
export class LinkTransit {
    private delay = linkDelay.empty;

    public constructor(private readonly options: LinkTransitOptions) {}

    /** Returns the age of a message that is being read. Without timing, only what this node left unread is known. */
    public ageMs(timing: MessageTiming | undefined): number {
        const { clock, turns: { unreadMs } } = this.options;
        if (!timing) {
            return unreadMs;
        }
        const receivedAtMs = clock.monotonicMs();
        const { lastReceived, sentAtMs } = timing;
        const roundTripMs = lastReceived && receivedAtMs - lastReceived.sentAtMs - lastReceived.heldMs;
        const transit = { sentAtMs, receivedAtMs, roundTripMs, unreadMs };
        this.delay = linkDelay.record(this.delay, transit);
        return linkDelay.ageMs(this.delay, transit);
    }
}
