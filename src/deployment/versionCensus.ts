import { EndpointState } from "../membership/EndpointState";
import { MemberRecord } from "../membership/MemberRecord";
import { ServiceRollout } from "./ServiceRollout";

/** The backend server that was last known to accept requests beside a node. */
type KnownBackend = {
    readonly service: string;
    readonly version: string;
    readonly zone: string;
    readonly seenAtMs: number;
};

/** Times are of the monotonic clock. */
type Census = {
    readonly startedAtMs: number;
    /** By the id of the node. */
    readonly backends: ReadonlyMap<string, KnownBackend>;
};

/** A rollout that is to begin, or one that was accepted. */
type Candidate = Pick<ServiceRollout, "excludedVersions" | "service" | "targetVersion">;

/**
 * A process that has run for less may not know of all nodes yet, and a node that has stopped, or has named no backend
 * server, for less may only have restarted.
 */
const ABSENCE_MS = 10_000;

const create = (nowMs: number): Census => ({ startedAtMs: nowMs, backends: new Map() });

/** Takes in what the members state. A node whose backend server leaves has none that accepts requests. */
const observe = (census: Census, members: readonly MemberRecord[], nowMs: number): Census => {
    const backends = new Map([...census.backends].filter(([, { seenAtMs }]) => nowMs - seenAtMs < ABSENCE_MS));
    for (const { endpoints, id, zone } of members) {
        const ready = endpoints.find(({ state }) => state === EndpointState.Ready);
        if (ready) {
            backends.set(id, { service: ready.service, version: ready.backendVersion, zone, seenAtMs: nowMs });
        }
        else if (endpoints.some(({ isLeaving }) => isLeaving)) {
            backends.delete(id);
        }
    }
    return { ...census, backends };
};

/**
 * Returns the versions of a service that are in use outside of the evacuated zones and may get requests. Undefined while
 * this process is too young to know all of them.
 */
const versionsInUse = (
    { backends, startedAtMs }: Census,
    { excludedVersions = [], service }: Pick<Candidate, "excludedVersions" | "service">,
    evacuatedZones: ReadonlySet<string>,
    nowMs: number,
): ReadonlySet<string> | undefined => {
    if (nowMs - startedAtMs < ABSENCE_MS) {
        return undefined;
    }
    const versions = [...backends.values()]
        .filter((backend) => backend.service === service && !evacuatedZones.has(backend.zone))
        .map(({ version }) => version);
    return new Set(versions.filter((version) => !excludedVersions.includes(version)));
};

/** True if the target version of a rollout is the only one in use. Undefined if that is not known. */
const isOnlyVersion = (
    census: Census,
    rollout: Candidate,
    evacuatedZones: ReadonlySet<string>,
    nowMs: number,
): boolean | undefined => {
    const versions = versionsInUse(census, rollout, evacuatedZones, nowMs);
    return versions && versions.size === 1 && versions.has(rollout.targetVersion);
};

/**
 * Keeps which versions of each service are in use, as a control replica knows from the members. That a version is gone
 * is known only if the nodes on its hosts say so or stay away: after a restart of many nodes some are known first.
 */
export const versionCensus = { create, observe, versionsInUse, isOnlyVersion } as const;
