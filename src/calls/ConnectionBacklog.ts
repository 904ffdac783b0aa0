import { Socket } from "node:net";
import { Clock } from "../core/Clock";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { turnLateness } from "../core/turnLateness";

/** Dependencies of the backlog. */
type ConnectionBacklogOptions = {
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "settle" | "unreadMs">;
};

/** What is known of a connection until its socket has been polled for the first time. */
type NewConnection = {
    /** The earliest time at which it may have been established, unless others waited before it. */
    readonly establishedMs: number;
    readonly waitedBehindOthers: boolean;
};

/**
 * Knows how late new connections are accepted. The event loop accepts one in each turn, and reads what has arrived on it
 * in the next one: that may have waited for as many turns as there were connections before it.
 */
export class ConnectionBacklog {
    private readonly unpolled = new WeakMap<Socket, NewConnection>();
    /** Connections that were accepted in this turn or the one before. */
    private accepted = 0;

    public constructor(private readonly options: ConnectionBacklogOptions) {}

    public onAccepted(socket: Socket): void {
        const { clock, turns } = this.options;
        this.unpolled.set(socket, {
            establishedMs: clock.monotonicMs() - turns.unreadMs,
            waitedBehindOthers: this.accepted > 0,
        });
        this.accepted += 1;
        this.afterNextPoll(() => {
            this.accepted -= 1;
            this.unpolled.delete(socket);
        });
    }

    /** For how long what is read now on the connection may have waited, as far as that is known. */
    public unreadMs(socket: Socket): number {
        const { clock, turns } = this.options;
        const connection = this.unpolled.get(socket);
        return connection ? clock.monotonicMs() - connection.establishedMs : turns.unreadMs;
    }

    /**
     * As `EventLoopTurns.settle`, and also after a connection that was accepted late, or behind others: nothing says for
     * how long that one waited, but if its caller has left, the close is read in the next turn.
     */
    public settle(socket: Socket): Promise<void> | undefined {
        const connection = this.unpolled.get(socket);
        const wasLate = connection?.waitedBehindOthers || this.unreadMs(socket) >= turnLateness.settleAfterMs;
        return connection && wasLate
            ? new Promise((resolve) => this.afterNextPoll(resolve))
            : this.options.turns.settle();
    }

    private afterNextPoll(action: () => void): void {
        setImmediate(() => setImmediate(action));
    }
}
