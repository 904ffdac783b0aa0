import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { EventLog } from "../core/EventLog";
import { ControlDepartureMessage } from "./ControlDepartureMessage";
import { decideAcknowledgement } from "./decideAcknowledgement";
import { Departure } from "./Departure";
import { departures } from "./departures";

/** Dependencies and callbacks of `DepartureWrites`. */
type WriteOptions = {
    readonly clock: Clock;
    readonly log: Pick<EventLog, "info" | "warn">;
    /** Requests all neighbours to store the departures from this host. Returns the ids of the neighbours. */
    readonly sendToNeighbours: (number: number) => ReadonlySet<string>;
    /** Sends a message to the control replica at an address, or to all. */
    readonly sendToControl: (message: ControlDepartureMessage, address?: string) => void;
    readonly isControlConnected: () => boolean;
    readonly onDecided: (outcome: "acknowledged" | "refused") => void;
};

/** A departure that is being stored elsewhere. */
type Write = {
    readonly departure: Departure;
    readonly number: number;
    readonly startedMs: number;
    readonly confirmedBy: Set<string>;
    neighbours: ReadonlySet<string>;
    isCommitted: boolean;
    outcome: "acknowledged" | "refused" | undefined;
    readonly waiting: ((isAcknowledged: boolean) => void)[];
};

/** Decisions depend on time, so they are made again at this interval while one is open. */
const DECISION_INTERVAL_MS = 50;

/** Has departures stored by neighbours and by control, and decides when they may be acknowledged. */
export class DepartureWrites implements Disposable {
    private writes: readonly Write[] = [];
    private lastNumber = 0;
    private timer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: WriteOptions) {}

    /** True if control has not confirmed that it stores all departures. */
    public get hasUncommitted(): boolean {
        return this.uncommitted().length > 0;
    }

    /** Stores a departure, unless that is done or in progress. Resolves to whether it may be acknowledged. */
    public store(departure: Departure): Promise<boolean> {
        const write = this.writes.find((known) => known.departure === departure && known.outcome !== "refused")
            ?? this.start(departure, false);
        if (write.outcome === "acknowledged") {
            return Promise.resolve(true);
        }
        return new Promise((resolve) => {
            write.waiting.push(resolve);
            this.decide();
        });
    }

    /**
     * Stores a departure that was learned from another process.
     * @param isCommitted true if control has stored it
     */
    public handOn(departure: Departure, isCommitted: boolean): void {
        this.start(departure, isCommitted);
        this.decide();
    }

    /** Requests all neighbours to store the departures from this host, without waiting for their answers. */
    public inform(): void {
        this.options.sendToNeighbours(this.nextNumber());
    }

    /** Repeats the requests to neighbours that are not decided, since a link has opened. */
    public onNeighbour(): void {
        this.open().forEach((write) => {
            write.neighbours = this.options.sendToNeighbours(write.number);
        });
    }

    public onStored(neighbourId: string, number: number): void {
        this.update(number, (write) => write.confirmedBy.add(neighbourId));
    }

    public onCommitted(number: number): void {
        this.update(number, (write) => {
            write.isCommitted = true;
        });
    }

    /** Requests control again to store what it has not confirmed. */
    public resend(address?: string): void {
        this.uncommitted().forEach((write) => this.sendToControl(write, address));
    }

    public dispose(): void {
        clearTimeout(this.timer);
        this.writes.forEach(({ waiting }) => waiting.splice(0).forEach((resolve) => resolve(false)));
        this.writes = [];
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private nextNumber(): number {
        this.lastNumber += 1;
        return this.lastNumber;
    }

    private start(departure: Departure, isCommitted: boolean): Write {
        const nowMs = this.nowMs();
        const write: Write = {
            departure,
            number: this.nextNumber(),
            startedMs: nowMs,
            confirmedBy: new Set(),
            neighbours: new Set(),
            isCommitted,
            outcome: undefined,
            waiting: [],
        };
        const others = this.writes.filter((known) =>
            known.departure !== departure && departures.isKept(known.departure, nowMs)
        );
        this.writes = [...others, write];
        write.neighbours = this.options.sendToNeighbours(write.number);
        if (!isCommitted) {
            this.sendToControl(write);
        }
        return write;
    }

    private open(): readonly Write[] {
        return this.writes.filter(({ outcome }) => outcome === undefined);
    }

    private uncommitted(): readonly Write[] {
        const nowMs = this.nowMs();
        return this.writes.filter(({ departure, isCommitted }) => !isCommitted && departures.isKept(departure, nowMs));
    }

    private sendToControl({ departure, number }: Write, address?: string): void {
        const [report] = departures.toReports([departure], this.nowMs());
        this.options.sendToControl({ kind: "record-departure", number, departure: report }, address);
    }

    private update(number: number, change: (write: Write) => void): void {
        const write = this.writes.find((candidate) => candidate.number === number);
        if (write) {
            change(write);
            this.decide();
        }
    }

    private decide(): void {
        this.open().forEach((write) => this.decideWrite(write));
        if (this.open().length > 0) {
            this.timer ??= setTimeout(() => {
                this.timer = undefined;
                this.decide();
            }, DECISION_INTERVAL_MS);
        }
    }

    private decideWrite(write: Write): void {
        const { confirmedBy, departure, isCommitted, neighbours, startedMs, waiting } = write;
        const { isControlConnected, log, onDecided } = this.options;
        const elapsedMs = this.nowMs() - startedMs;
        const decision = decideAcknowledgement({
            elapsedMs,
            isCommitted,
            isControlConnected: isControlConnected(),
            neighbours: neighbours.size,
            confirmations: confirmedBy.size,
        });
        if (decision === "wait") {
            return;
        }
        const isAcknowledged = decision === "acknowledge";
        write.outcome = isAcknowledged ? "acknowledged" : "refused";
        onDecided(write.outcome);
        log[isAcknowledged ? "info" : "warn"]("departure-stored", {
            instance: departure.instanceId,
            bornMs: departure.bornMs,
            outcome: write.outcome,
            tookMs: Math.round(elapsedMs),
            control: isCommitted,
            neighbours: confirmedBy.size,
        });
        waiting.splice(0).forEach((resolve) => resolve(isAcknowledged));
    }
}
