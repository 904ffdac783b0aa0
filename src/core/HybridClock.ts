import { Clock } from "./Clock";
import { HybridTimestamp } from "./HybridTimestamp";

/** A received timestamp that is further ahead of the own clock is wrong. It would set all later ones in the system. */
const MAXIMUM_LEAD_MS = 3_600_000;

/**
 * A hybrid logical clock. A timestamp taken after a message was received is greater than the one that the message
 * carried, so that sorting by timestamp respects causality.
 */
export class HybridClock {
    private last: HybridTimestamp = { wallMs: 0, counter: 0 };

    public constructor(private readonly clock: Clock) {}

    /** Advances the clock and returns the new timestamp. */
    public tick(): HybridTimestamp {
        const wallMs = Math.max(this.clock.wallMs(), this.last.wallMs);
        const counter = wallMs === this.last.wallMs ? this.last.counter + 1 : 0;
        this.last = { wallMs, counter };
        return this.last;
    }

    /** Advances the clock to the timestamp of a received message, if that is later and can be right. */
    public observe(remote: HybridTimestamp): void {
        if (remote.wallMs > this.clock.wallMs() + MAXIMUM_LEAD_MS) {
            return;
        }
        if (remote.wallMs > this.last.wallMs) {
            this.last = remote;
            return;
        }
        if (remote.wallMs === this.last.wallMs && remote.counter > this.last.counter) {
            this.last = remote;
        }
    }
}
