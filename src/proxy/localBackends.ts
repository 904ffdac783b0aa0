import { EndpointState } from "../membership/EndpointState";
import { LocalBackend } from "./LocalBackend";

/** A backend server that does not announce itself again within this time is gone. */
const LEASE_MS = 3_000;

/** A draining backend server still takes requests of nodes that have not heard of it for this long. */
const DRAIN_GRACE_MS = 1_500;

type Backends = ReadonlyMap<string, LocalBackend>;

type Announcement = Omit<LocalBackend, "renewedAtMs" | "drainingSinceMs">;

const keyOf = ({ backendVersion, service }: Pick<LocalBackend, "backendVersion" | "service">): string =>
    `${service}/${backendVersion}`;

const announce = (backends: Backends, announcement: Announcement, nowMs: number): Backends => {
    const key = keyOf(announcement);
    const present = backends.get(key);
    const draining = announcement.state === EndpointState.Draining;
    const drainingSinceMs = draining ? present?.drainingSinceMs ?? nowMs : undefined;
    return new Map(backends).set(key, { ...announcement, renewedAtMs: nowMs, drainingSinceMs });
};

const remove = (backends: Backends, key: string): Backends => new Map([...backends].filter(([other]) => other !== key));

const expire = (backends: Backends, nowMs: number): Backends =>
    new Map([...backends].filter(([, { renewedAtMs }]) => nowMs - renewedAtMs < LEASE_MS));

const takesRequests = ({ drainingSinceMs }: LocalBackend, nowMs: number): boolean =>
    drainingSinceMs === undefined || nowMs - drainingSinceMs < DRAIN_GRACE_MS;

/** The backend servers that announced themselves to this host's node, held by leases. */
export const localBackends = { keyOf, announce, remove, expire, takesRequests } as const;
