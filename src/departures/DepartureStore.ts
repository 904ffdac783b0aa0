import { Clock } from "../core/Clock";
import { NeighbourExchange } from "../membership/NeighbourExchange";
import { Departure } from "./Departure";
import { DepartureMessage } from "./DepartureMessage";
import { departures } from "./departures";
import { OwnDepartures } from "./OwnDepartures";

type Remembered = DepartureMessage & { readonly kind: "remembered"; };

/** What is stored for the host of a neighbour. */
type StoredHost = {
    readonly departures: readonly Departure[];
    /** True if a process of that host told all that it knew. */
    readonly isInformed: boolean;
};

/** Only neighbours send departures, and a process has few of them at a time. */
const MAXIMUM_HOSTS = 1_000;

const unknownHost: StoredHost = { departures: [], isInformed: false };

/** Stores the departures of the neighbours' hosts and tells them to a neighbour that has restarted. */
export class DepartureStore extends NeighbourExchange {
    /** By the id of the neighbour. Those that sent something last are at the end. */
    private readonly hosts = new Map<string, StoredHost>();

    public constructor(private readonly clock: Clock) {
        super();
    }

    public override greet(neighbourId: string): DepartureMessage {
        const { departures: stored, isInformed } = this.hosts.get(neighbourId) ?? unknownHost;
        const yours = departures.toReports(stored, this.clock.monotonicMs());
        return { kind: "remembered", yours, isInformed, own: this.ownDepartures() };
    }

    public override receive(neighbourId: string, body: unknown, reply: (body: DepartureMessage) => void): void {
        const message = body as DepartureMessage;
        switch (message.kind) {
            case "remembered":
                this.store(neighbourId, message.own);
                this.onRemembered(neighbourId, message);
                return;
            case "store":
                this.store(neighbourId, message.own);
                reply({ kind: "stored", number: message.number });
                return;
            case "stored":
                this.onStored(neighbourId, message.number);
                return;
        }
    }

    /** The departures from the host of this process. */
    protected ownDepartures(): OwnDepartures {
        return { reports: [], isComplete: false };
    }

    /** Called with what a neighbour stores for this process, each time that a link to it opens. */
    protected onRemembered(_neighbourId: string, _message: Remembered): void {
        // A process without a backend server has no departures of its own.
    }

    /** Called when a neighbour has stored what a message of this number asked it to. */
    protected onStored(_neighbourId: string, _number: number): void {
        // A process without a backend server asks for nothing.
    }

    private store(neighbourId: string, { isComplete, reports }: OwnDepartures): void {
        const nowMs = this.clock.monotonicMs();
        const known = this.hosts.get(neighbourId) ?? unknownHost;
        this.hosts.delete(neighbourId);
        this.hosts.set(neighbourId, {
            departures: departures.add(known.departures, departures.fromReports(reports, nowMs), nowMs),
            isInformed: known.isInformed || isComplete,
        });
        if (this.hosts.size > MAXIMUM_HOSTS) {
            this.hosts.delete([...this.hosts.keys()][0]);
        }
    }
}
