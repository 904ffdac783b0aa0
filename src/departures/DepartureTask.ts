import { Disposable } from "../core/Disposable";
import { ControlDepartureMessage } from "./ControlDepartureMessage";
import { Departure } from "./Departure";
import { DepartureMessage } from "./DepartureMessage";
import { DepartureReport } from "./DepartureReport";
import { departures } from "./departures";
import { DepartureStore } from "./DepartureStore";
import { DepartureWrites } from "./DepartureWrites";
import { knowsDepartures } from "./knowsDepartures";
import { OwnDepartures } from "./OwnDepartures";

/** Dependencies and callbacks of a `DepartureTask`. */
type DepartureOptions = Omit<ConstructorParameters<typeof DepartureWrites>[0], "sendToNeighbours"> & {
    /** Sends a message to all neighbours. Returns their ids. */
    readonly sendToNeighbours: (message: DepartureMessage) => ReadonlySet<string>;
    /** Called when a departure was learned from another process, and when announcements need no longer be held. */
    readonly onChange: () => void;
};

/** What is known depends on time, so it is checked at this interval until it suffices. */
const CHECK_INTERVAL_MS = 50;

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
    private readonly startedMs: number;
    private readonly writes: DepartureWrites;
    private own: readonly Departure[] = [];
    private hasControlAnswered = false;
    /** The neighbours that answered since the start, with whether an earlier process had informed them. */
    private readonly answeredBy = new Map<string, boolean>();
    private isKnown = false;
    /** True once control or an informed neighbour has answered. */
    private isInformed = false;
    private checkTimer: NodeJS.Timeout | undefined;
    private resendTimer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: DepartureOptions) {
        super(options.clock);
        this.startedMs = options.clock.monotonicMs();
        this.writes = new DepartureWrites({
            ...options,
            sendToNeighbours: (number) =>
                options.sendToNeighbours({ kind: "store", number, own: this.ownDepartures() }),
        });
        this.checkKnown();
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
        const stored = this.writes.store(departure);
        this.scheduleResend();
        return stored;
    }

    /** To be called when the link to a control replica opens, and when the replica says that it leads. */
    public onControl(address: string): void {
        this.askControl(address);
    }

    /** Handles a message of a control replica. */
    public receiveFromControl(message: ControlDepartureMessage): void {
        switch (message.kind) {
            case "departure-recorded":
                this.writes.onCommitted(message.number);
                return;
            case "departures":
                this.learn("control", message.departures, true);
                this.hasControlAnswered ||= message.isComplete;
                this.onAnswer(message.isComplete);
                return;
        }
    }

    public dispose(): void {
        clearTimeout(this.checkTimer);
        clearTimeout(this.resendTimer);
        this.writes.dispose();
    }

    protected override ownDepartures(): OwnDepartures {
        return { reports: departures.toReports(this.own, this.nowMs()), isComplete: this.isInformed };
    }

    protected override onRemembered(
        neighbourId: string,
        { isInformed, yours }: DepartureMessage & { readonly kind: "remembered"; },
    ): void {
        this.learn(neighbourId, yours, false);
        if (!this.isKnown) {
            this.answeredBy.set(neighbourId, isInformed);
        }
        this.writes.onNeighbour();
        this.onAnswer(isInformed);
    }

    protected override onStored(neighbourId: string, number: number): void {
        this.writes.onStored(neighbourId, number);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /** Asks control for all that it has not answered. */
    private askControl(address?: string): void {
        if (!this.hasControlAnswered) {
            this.options.sendToControl({ kind: "recall-departures" }, address);
        }
        this.writes.resend(address);
    }

    private scheduleResend(): void {
        if (this.hasControlAnswered && !this.writes.hasUncommitted) {
            return;
        }
        this.resendTimer ??= setTimeout(() => {
            this.resendTimer = undefined;
            this.askControl();
            this.scheduleResend();
        }, this.isKnown ? RESEND_INTERVAL_MS : HOLDING_RESEND_INTERVAL_MS);
    }

    /** @param isInformed true if who answered knows what earlier processes of this host acknowledged */
    private onAnswer(isInformed: boolean): void {
        if (isInformed && !this.isInformed) {
            this.isInformed = true;
            this.writes.inform();
        }
        this.checkKnown();
    }

    /** Adds what another process remembers of this host, and has the others store it too. */
    private learn(from: string, reports: readonly DepartureReport[], isCommitted: boolean): void {
        const nowMs = this.nowMs();
        const remembered = departures.fromReports(reports, nowMs);
        const news = remembered.filter((departure) => !departures.find(this.own, departure, nowMs));
        if (news.length === 0) {
            return;
        }
        this.own = departures.add(this.own, news, nowMs);
        for (const { bornMs, instanceId, leftAtMs } of news) {
            const ageMs = Math.round(nowMs - leftAtMs);
            this.options.log.info("departure-recalled", { instance: instanceId, bornMs, ageMs, from });
        }
        this.own.filter((departure) => news.includes(departure)).forEach((departure) =>
            this.writes.handOn(departure, isCommitted)
        );
        this.scheduleResend();
        this.options.onChange();
    }

    private checkKnown(): void {
        if (this.isKnown) {
            return;
        }
        const elapsedMs = this.nowMs() - this.startedMs;
        const controlAnswered = this.hasControlAnswered;
        const neighboursAnswered = this.answeredBy.size;
        const informedNeighbours = [...this.answeredBy.values()].filter((isInformed) => isInformed).length;
        if (!knowsDepartures({ elapsedMs, controlAnswered, neighboursAnswered, informedNeighbours })) {
            this.checkTimer ??= setTimeout(() => {
                this.checkTimer = undefined;
                this.checkKnown();
            }, CHECK_INTERVAL_MS);
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
}
