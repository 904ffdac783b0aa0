import { ServiceMove } from "../deployment/ServiceMove";
import { ServiceMoveState } from "../deployment/ServiceMoveState";
import { BackendChoice } from "./BackendChoice";
import { splitByZone } from "./splitByZone";
import { ZonedChoices } from "./ZonedChoices";

/** The backend servers of a service by where its move stands. */
type ServiceEntry = {
    readonly target: ZonedChoices;
    readonly others: ZonedChoices;
    /** Part of the requests that goes to the move's target version. */
    readonly targetShare: number;
};

const shareOf = ({ share, state }: ServiceMove): number => {
    switch (state) {
        case ServiceMoveState.Finished:
            return 1;
        case ServiceMoveState.TakenBack:
            return 0;
        case ServiceMoveState.Running:
            return share;
    }
};

/** Holds where requests may go, prepared for the call path: it is built anew with each change, not with each request. */
export class BackendDirectory {
    private present: ReadonlyMap<string, readonly BackendChoice[]> = new Map();
    private moves: ReadonlyMap<string, ServiceMove> = new Map();
    private entries = new Map<string, ServiceEntry>();

    public constructor(private readonly ownZone: string) {}

    /** The backend servers by service. */
    public get choices(): ReadonlyMap<string, readonly BackendChoice[]> {
        return this.present;
    }

    public moveOf(service: string): ServiceMove | undefined {
        return this.moves.get(service);
    }

    public follow(choices: ReadonlyMap<string, readonly BackendChoice[]>): void {
        this.present = choices;
        this.entries.clear();
    }

    public followMoves(moves: ReadonlyMap<string, ServiceMove>): void {
        this.moves = moves;
        this.entries.clear();
    }

    /**
     * The backend servers that a request of the service may go to.
     * @param fraction of the request, in [0, 1); a move's share of requests goes to its target version
     */
    public choose(service: string, fraction: number): ZonedChoices {
        const entry = this.entries.get(service) ?? this.prepare(service);
        return fraction < entry.targetShare ? entry.target : entry.others;
    }

    private prepare(service: string): ServiceEntry {
        const choices = this.present.get(service) ?? [];
        const move = this.moves.get(service);
        const isTarget = ({ version }: BackendChoice): boolean => version === move?.targetVersion;
        const target = choices.filter(isTarget);
        const entry: ServiceEntry = {
            target: splitByZone(target, this.ownZone),
            others: splitByZone(choices.filter((choice) => !isTarget(choice)), this.ownZone),
            targetShare: move && target.length > 0 ? shareOf(move) : 0,
        };
        this.entries.set(service, entry);
        return entry;
    }
}
