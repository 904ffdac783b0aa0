import { ServiceRollout } from "../deployment/ServiceRollout";
import { ServiceRolloutState } from "../deployment/ServiceRolloutState";
import { RoutableBackend } from "./RoutableBackend";
import { splitByZone } from "./splitByZone";
import { targetShare } from "./targetShare";
import { ZonedBackends } from "./ZonedBackends";

/** The backend servers of a service, split by whether they run the target version of its rollout. */
type ServiceEntry = {
    readonly onTargetVersion: ZonedBackends;
    readonly onOtherVersions: ZonedBackends;
    /** See `targetShare`. */
    readonly share: number;
};

/**
 * Holds the backend servers that requests may be sent to. The list of a service is rebuilt after a change, not for each
 * request, because it is read for every attempt.
 */
export class BackendDirectory {
    private backends: ReadonlyMap<string, readonly RoutableBackend[]> = new Map();
    private rollouts: ReadonlyMap<string, ServiceRollout> = new Map();
    private evacuatedZones: ReadonlySet<string> = new Set();
    private entries = new Map<string, ServiceEntry>();

    public constructor(private readonly ownZone: string) {}

    /** The backend servers by service. */
    public get backendsByService(): ReadonlyMap<string, readonly RoutableBackend[]> {
        return this.backends;
    }

    public rolloutOf(service: string): ServiceRollout | undefined {
        return this.rollouts.get(service);
    }

    public updateBackends(backends: ReadonlyMap<string, readonly RoutableBackend[]>): void {
        this.backends = backends;
        this.entries.clear();
    }

    public updateRollouts(rollouts: ReadonlyMap<string, ServiceRollout>): void {
        this.rollouts = rollouts;
        this.entries.clear();
    }

    /** Sets the zones whose backend servers get no requests. */
    public updateEvacuations(evacuatedZones: ReadonlySet<string>): void {
        this.evacuatedZones = evacuatedZones;
        this.entries.clear();
    }

    /**
     * True if backend servers of the service are left out because their zone is evacuated. If none of the service is
     * known, those of all services count.
     */
    public isEvacuated(service: string): boolean {
        const ofService = this.backends.get(service) ?? [];
        const considered = ofService.length > 0 ? ofService : [...this.backends.values()].flat();
        return considered.some(({ zone }) => this.evacuatedZones.has(zone))
            && (ofService.length > 0 || considered.every(({ zone }) => this.evacuatedZones.has(zone)));
    }

    /**
     * Returns the backend servers that a request of the service may be sent to.
     * @param fraction random number in [0, 1) drawn for the request, which uses the target version if this is below the
     * rollout's share
     */
    public choose(service: string, fraction: number): ZonedBackends {
        const { onOtherVersions, onTargetVersion, share } = this.entryOf(service);
        return fraction < share ? onTargetVersion : onOtherVersions;
    }

    /** Returns the backend servers of a service that are not on a version whose rollout is still running. */
    public chooseStable(service: string): ZonedBackends {
        const { onOtherVersions, onTargetVersion, share } = this.entryOf(service);
        return share === 1 ? onTargetVersion : onOtherVersions;
    }

    /** True if a rollout has replaced this version of a service, or has rolled it back and it gets no requests. */
    public isReplaced(service: string, version: string): boolean {
        const rollout = this.rollouts.get(service);
        if (rollout?.excludedVersions?.includes(version)) {
            return true;
        }
        switch (rollout?.state) {
            case ServiceRolloutState.Finished:
                return version !== rollout.targetVersion;
            case ServiceRolloutState.RolledBack:
                return version === rollout.targetVersion && this.entryOf(service).share === 0;
            default:
                return false;
        }
    }

    /** The versions of a service's known backend servers. */
    public versionsOf(service: string): ReadonlySet<string> {
        return new Set((this.backends.get(service) ?? []).map(({ version }) => version));
    }

    private entryOf(service: string): ServiceEntry {
        return this.entries.get(service) ?? this.prepare(service);
    }

    private prepare(service: string): ServiceEntry {
        const backends = (this.backends.get(service) ?? []).filter(({ zone }) => !this.evacuatedZones.has(zone));
        const rollout = this.rollouts.get(service);
        const isTarget = ({ version }: RoutableBackend): boolean => version === rollout?.targetVersion;
        const isExcluded = ({ version }: RoutableBackend): boolean =>
            rollout?.excludedVersions?.includes(version) ?? false;
        const target = backends.filter(isTarget);
        const others = backends.filter((backend) => !isTarget(backend) && !isExcluded(backend));
        const entry: ServiceEntry = {
            onTargetVersion: splitByZone(target, this.ownZone),
            onOtherVersions: splitByZone(others, this.ownZone),
            share: targetShare(rollout, { hasTarget: target.length > 0, hasOthers: others.length > 0 }),
        };
        this.entries.set(service, entry);
        return entry;
    }
}
