import { RandomSource } from "../../core/RandomSource";

/** A node whose event loop polls its sockets at irregular intervals, in simulated time. */
export class PollingNode {
    private readonly pollsMs: number[] = [0];

    /** @param turnMs mean time from one poll to the next */
    public constructor(private readonly random: RandomSource, turnMs: number, durationMs: number) {
        while (this.pollsMs[this.pollsMs.length - 1] < durationMs) {
            const last = this.pollsMs[this.pollsMs.length - 1];
            this.pollsMs.push(last + turnMs * (0.3 + 1.4 * random.fraction()));
        }
    }

    /** Returns when what has arrived at the time is handled: at some time in the turn that begins with the next poll. */
    public handledMs(arrivedMs: number): number {
        const index = this.pollsMs.findIndex((pollMs) => pollMs >= arrivedMs);
        return this.pollsMs[index] + (this.pollsMs[index + 1] - this.pollsMs[index]) * this.random.fraction();
    }

    /** Returns the end of the turn after the one at the time. */
    public afterNextTurnMs(nowMs: number): number {
        return this.pollsMs[this.pollsMs.findIndex((pollMs) => pollMs > nowMs) + 1];
    }

    /** As `EventLoopTurns.sincePolledMs`: all that arrived before the poll of the turn before has been read. */
    public sincePolledMs(nowMs: number): number {
        return nowMs - this.pollsMs[Math.max(0, this.pollsMs.findIndex((pollMs) => pollMs > nowMs) - 2)];
    }
}
