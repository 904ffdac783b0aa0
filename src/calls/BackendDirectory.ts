import { ServiceMove } from "../deployment/ServiceMove";
import { ServiceMoveState } from "../deployment/ServiceMoveState";
import { BackendEndpoint } from "./BackendEndpoint";
import { splitByZone } from "./splitByZone";
import { ZonedBackends } from "./ZonedBackends";

/** The backend servers of a service, split by whether they run the target version of its move. */
type ServiceEntry = {
    readonly onTargetVersion: ZonedBackends;
    readonly onOtherVersions: ZonedBackends;
    /** Share of the requests that goes to the move's target version, 0 to 1. */
    readonly targetShare: number;
};

const shareOf = ({ share, state }: ServiceMove): number => {
    switch (state) {
        case ServiceMoveState.Finished:
            return 1;
        case ServiceMoveState.RolledBack:
            return 0;
        case ServiceMoveState.Running:
            return share;
    }
};

/**
 * Holds the backend servers that requests may be sent to. The list of a service is rebuilt after a change, not for each
 * request, because it is read for every attempt.
 */
export class BackendDirectory {
    private backends: ReadonlyMap<string, readonly BackendEndpoint[]> = new Map();
    private moves: ReadonlyMap<string, ServiceMove> = new Map();
    private entries = new Map<string, ServiceEntry>();

    public constructor(private readonly ownZone: string) {}

    /** The backend servers by service. */
    public get backendsByService(): ReadonlyMap<string, readonly BackendEndpoint[]> {
        return this.backends;
    }

    public moveOf(service: string): ServiceMove | undefined {
        return this.moves.get(service);
    }

    public updateBackends(backends: ReadonlyMap<string, readonly BackendEndpoint[]>): void {
        this.backends = backends;
        this.entries.clear();
    }

    public updateMoves(moves: ReadonlyMap<string, ServiceMove>): void {
        this.moves = moves;
        this.entries.clear();
    }

    /**
     * Returns the backend servers that a request of the service may be sent to.
     * @param fraction random number in [0, 1) drawn for the request; below the move's share the target version is used
     */
    public choose(service: string, fraction: number): ZonedBackends {
        const entry = this.entries.get(service) ?? this.prepare(service);
        return fraction < entry.targetShare ? entry.onTargetVersion : entry.onOtherVersions;
    }

    private prepare(service: string): ServiceEntry {
        const backends = this.backends.get(service) ?? [];
        const move = this.moves.get(service);
        const isTarget = ({ version }: BackendEndpoint): boolean => version === move?.targetVersion;
        const target = backends.filter(isTarget);
        const entry: ServiceEntry = {
            onTargetVersion: splitByZone(target, this.ownZone),
            onOtherVersions: splitByZone(backends.filter((backend) => !isTarget(backend)), this.ownZone),
            targetShare: move && target.length > 0 ? shareOf(move) : 0,
        };
        this.entries.set(service, entry);
        return entry;
    }
}
