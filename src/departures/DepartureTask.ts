import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { EventLog } from "../core/EventLog";
import { ControlDepartureMessage } from "./ControlDepartureMessage";
import { decideAcknowledgement } from "./decideAcknowledgement";
import { Departure } from "./Departure";
import { DepartureMessage } from "./DepartureMessage";
import { DepartureReport } from "./DepartureReport";
import { departures } from "./departures";
import { DepartureStore } from "./DepartureStore";
import { knowsDepartures } from "./knowsDepartures";
import { OwnDepartures } from "./OwnDepartures";

/** Dependencies and callbacks of a `DepartureTask`. */
type DepartureOptions = {
    readonly clock: Clock;
    readonly log: Pick<EventLog, "info" | "warn">;
    /** Sends a message to all neighbours. Returns their ids. */
    readonly sendToNeighbours: (message: DepartureMessage) => ReadonlySet<string>;
    /** Sends a message to the control replica at an address, or to all. */
    readonly sendToControl: (message: ControlDepartureMessage, address?: string) => void;
    readonly isControlConnected: () => boolean;
    /** Called when a departure was learned from another process, and when announcements need no longer be held. */
    readonly onChange: () => void;
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

/** Interval at which control is asked again for what it has not answered. */
const RESEND_INTERVAL_MS = 1_000;

/** The same while announcements are held until it answers. A new leader can't answer at once. */
const HOLDING_RESEND_INTERVAL_MS = 200;

type Start = Pick<Departure, "bornMs" | "instanceId">;

/**
 * Knows which starts of backend servers left this host. A departure is stored by control and by neighbours before it is
 * acknowledged, and a restarted process learns from them what an earlier one acknowledged.
 */
export class DepartureTask extends DepartureStore implements Disposable {
    private own: readonly Departure[] = [];
    private writes: readonly Write[] = [];
    private lastNumber = 0;
    private hasControlAnswered = false;
    private readonly startedMs: number;
    /** The neighbours that answered since the start, with whether an earlier process had informed them. */
    private readonly answeredBy = new Map<string, boolean>();
    private isKnown = false;
    /** True once control or an informed neighbour has answered. */
    private isInformed = false;
    private decisionTimer: NodeJS.Timeout | undefined;
    private resendTimer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: DepartureOptions) {
        super(options.clock);
        this.startedMs = options.clock.monotonicMs();
        this.decide();
        this.scheduleResend();
    }

    /** False while an announcement may be of a start that left before this process started. */
    public get areKnown(): boolean {
        return this.isKnown;
    }

    /** Returns the departure of a start, if it is known to have left. */
    public find(start: Start): Departure | undefined {
        return departures.find(this.own, start, this.nowMs());
    }

    /**
     * Stores a departure outside this process. Resolves to whether it may be acknowledged.
     * @param start `bornMs` is 0 if it is not stated: all starts up to now have left then
     */
    public record({ bornMs, instanceId }: Start): Promise<boolean> {
        const nowMs = this.nowMs();
        const departure: Departure = departures.find(this.own, { bornMs, instanceId }, nowMs)
            ?? { instanceId, bornMs: bornMs || this.options.clock.wallMs(), leftAtMs: nowMs };
        this.own = departures.add(this.own, [departure], nowMs);
        const write = this.writes.find((known) => known.departure === departure && known.outcome !== "refused")
            ?? this.startWrite(departure);
        if (write.outcome === "acknowledged") {
            return Promise.resolve(true);
        }
        return new Promise((resolve) => {
            write.waiting.push(resolve);
            this.decide();
        });
    }

    /** To be called when the link to a control replica opens, and when the replica says that it leads. */
    public onControl(address: string): void {
        this.sendToControl(address);
    }

    /** Handles a message of a control replica. */
    public receiveFromControl(message: ControlDepartureMessage): void {
        switch (message.kind) {
            case "departure-recorded":
                this.update(message.number, (write) => {
                    write.isCommitted = true;
                });
                return;
            case "departures":
                this.learn("control", message.departures).forEach((write) => {
                    write.isCommitted = true;
                });
                this.hasControlAnswered ||= message.isComplete;
                this.onAnswer(message.isComplete);
                return;
        }
    }

    public dispose(): void {
        clearTimeout(this.decisionTimer);
        clearTimeout(this.resendTimer);
        this.writes.forEach(({ waiting }) => waiting.splice(0).forEach((resolve) => resolve(false)));
        this.writes = [];
    }

    protected override ownDepartures(): OwnDepartures {
        return { reports: departures.toReports(this.own, this.nowMs()), isComplete: this.isInformed };
    }

    protected override onRemembered(
        neighbourId: string,
        { isInformed, yours }: DepartureMessage & { readonly kind: "remembered"; },
    ): void {
        this.learn(neighbourId, yours);
        if (!this.isKnown) {
            this.answeredBy.set(neighbourId, isInformed);
        }
        this.openWrites().forEach((write) => this.sendToNeighbours(write));
        this.onAnswer(isInformed);
    }

    protected override onStored(neighbourId: string, number: number): void {
        this.update(number, (write) => write.confirmedBy.add(neighbourId));
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private startWrite(departure: Departure): Write {
        const nowMs = this.nowMs();
        this.lastNumber += 1;
        const write: Write = {
            departure,
            number: this.lastNumber,
            startedMs: nowMs,
            confirmedBy: new Set(),
            neighbours: new Set(),
            isCommitted: false,
            outcome: undefined,
            waiting: [],
        };
        this.writes = [
            ...this.writes.filter((known) => known.departure !== departure && this.find(known.departure)),
            write,
        ];
        this.sendToNeighbours(write);
        this.sendWrite(write);
        this.scheduleResend();
        return write;
    }

    private openWrites(): readonly Write[] {
        return this.writes.filter(({ outcome }) => outcome === undefined);
    }

    private sendToNeighbours(write: Write): void {
        const message: DepartureMessage = { kind: "store", number: write.number, own: this.ownDepartures() };
        write.neighbours = this.options.sendToNeighbours(message);
    }

    /** Asks control for all that it has not answered. Returns false if there is nothing. */
    private sendToControl(address?: string): boolean {
        const uncommitted = this.writes.filter(({ departure, isCommitted }) => !isCommitted && this.find(departure));
        if (!this.hasControlAnswered) {
            this.options.sendToControl({ kind: "recall-departures" }, address);
        }
        uncommitted.forEach((write) => this.sendWrite(write, address));
        return !this.hasControlAnswered || uncommitted.length > 0;
    }

    private sendWrite({ departure, number }: Write, address?: string): void {
        departures.toReports([departure], this.nowMs()).forEach((report) =>
            this.options.sendToControl({ kind: "record-departure", number, departure: report }, address)
        );
    }

    private scheduleResend(): void {
        this.resendTimer ??= setTimeout(() => {
            this.resendTimer = undefined;
            if (this.sendToControl()) {
                this.scheduleResend();
            }
        }, this.isKnown ? RESEND_INTERVAL_MS : HOLDING_RESEND_INTERVAL_MS);
    }

    private update(number: number, change: (write: Write) => void): void {
        const write = this.writes.find((candidate) => candidate.number === number);
        if (write) {
            change(write);
            this.decide();
        }
    }

    /** @param isInformed true if who answered knows what earlier processes of this host acknowledged */
    private onAnswer(isInformed: boolean): void {
        if (isInformed && !this.isInformed) {
            this.isInformed = true;
            this.lastNumber += 1;
            this.options.sendToNeighbours({ kind: "store", number: this.lastNumber, own: this.ownDepartures() });
        }
        this.decide();
    }

    /** Adds what another process remembers of this host, and has the others store it too. */
    private learn(from: string, reports: readonly DepartureReport[]): readonly Write[] {
        const nowMs = this.nowMs();
        const remembered = departures.fromReports(reports, nowMs);
        const news = remembered.filter((departure) => !departures.find(this.own, departure, nowMs));
        if (news.length === 0) {
            return [];
        }
        this.own = departures.add(this.own, news, nowMs);
        for (const { bornMs, instanceId, leftAtMs } of news) {
            const ageMs = Math.round(nowMs - leftAtMs);
            this.options.log.info("departure-recalled", { instance: instanceId, bornMs, ageMs, from });
        }
        const writes = this.own.filter((departure) => news.includes(departure)).map((added) => this.startWrite(added));
        this.options.onChange();
        return writes;
    }

    private decide(): void {
        this.decideKnown();
        this.openWrites().forEach((write) => this.decideWrite(write));
        if (!this.isKnown || this.openWrites().length > 0) {
            this.decisionTimer ??= setTimeout(() => {
                this.decisionTimer = undefined;
                this.decide();
            }, DECISION_INTERVAL_MS);
        }
    }

    private decideKnown(): void {
        const elapsedMs = this.nowMs() - this.startedMs;
        const controlAnswered = this.hasControlAnswered;
        const neighboursAnswered = this.answeredBy.size;
        const informedNeighbours = [...this.answeredBy.values()].filter((isInformed) => isInformed).length;
        const answers = { elapsedMs, controlAnswered, neighboursAnswered, informedNeighbours };
        if (this.isKnown || !knowsDepartures(answers)) {
            return;
        }
        this.isKnown = true;
        this.answeredBy.clear();
        this.options.log.info("departures-known", {
            tookMs: Math.round(elapsedMs),
            control: controlAnswered,
            neighbours: neighboursAnswered,
            informed: informedNeighbours,
        });
        this.options.onChange();
    }

    private decideWrite(write: Write): void {
        const { confirmedBy, departure, isCommitted, neighbours, startedMs, waiting } = write;
        const elapsedMs = this.nowMs() - startedMs;
        const decision = decideAcknowledgement({
            elapsedMs,
            isCommitted,
            isControlConnected: this.options.isControlConnected(),
            neighbours: neighbours.size,
            confirmations: confirmedBy.size,
        });
        if (decision === "wait") {
            return;
        }
        const isAcknowledged = decision === "acknowledge";
        write.outcome = isAcknowledged ? "acknowledged" : "refused";
        this.options.onDecided(write.outcome);
        this.options.log[isAcknowledged ? "info" : "warn"]("departure-stored", {
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
