import { Clock } from "./Clock";
import { Disposable } from "./Disposable";
import { turnLateness } from "./turnLateness";

/**
 * Observes the turns of the event loop. In a process that gets too little processor time, or was stopped for a while,
 * messages wait in their sockets, and neither their senders nor their contents tell for how long.
 */
export class EventLoopTurns implements Disposable {
    private state;
    private readonly timer: NodeJS.Timeout;

    public constructor(private readonly clock: Clock) {
        this.state = turnLateness.create(clock.monotonicMs());
        this.timer = setInterval(() => this.onTick(), turnLateness.tickIntervalMs);
        this.timer.unref();
    }

    /** For how long what is read now may have waited unread, in ms; 0 in a process that keeps up. */
    public get unreadMs(): number {
        return turnLateness.unreadMs(this.state, this.clock.monotonicMs());
    }

    /** For how long messages may have arrived without being read, at most. */
    public get sincePolledMs(): number {
        return turnLateness.sincePolledMs(this.state, this.clock.monotonicMs());
    }

    /**
     * If this process reads late, waits until all sockets have been polled once more, so that a close or a cancellation
     * that has arrived is known. Returns undefined if it keeps up: most requests need not wait.
     */
    public settle(): Promise<void> | undefined {
        if (!turnLateness.mustSettle(this.state, this.clock.monotonicMs())) {
            return undefined;
        }
        // The first call may come before this turn's poll, the second one comes after that of the next turn.
        return new Promise((resolve) =>
            setImmediate(() =>
                setImmediate(() => {
                    this.state = turnLateness.endTurn(this.state);
                    resolve();
                })
            )
        );
    }

    public dispose(): void {
        clearInterval(this.timer);
    }

    private onTick(): void {
        this.state = turnLateness.tick(this.state, this.clock.monotonicMs());
        setImmediate(() => {
            this.state = turnLateness.endTurn(this.state);
        });
    }
}
