import { EndpointState } from "../membership/EndpointState";
import { LocalBackend } from "./LocalBackend";

/** A backend server is removed if it does not announce itself again within this time. */
const LEASE_MS = 3_000;

/** A draining backend server accepts requests for this long, from nodes that have not yet learned that it drains. */
const DRAIN_GRACE_MS = 1_500;

type Backends = ReadonlyMap<string, LocalBackend>;

type Announcement = Omit<LocalBackend, "renewedAtMs" | "drainingSinceMs">;

const keyOf = ({ backendVersion, service }: Pick<LocalBackend, "backendVersion" | "service">): string =>
    `${service}/${backendVersion}`;

/** Adds a backend server or renews its lease. A repeated announcement does not restart the drain's grace period. */
const announce = (backends: Backends, announcement: Announcement, nowMs: number): Backends => {
    const key = keyOf(announcement);
    const existing = backends.get(key);
    const draining = announcement.state === EndpointState.Draining;
    const drainingSinceMs = draining ? existing?.drainingSinceMs ?? nowMs : undefined;
    return new Map(backends).set(key, { ...announcement, renewedAtMs: nowMs, drainingSinceMs });
};

const remove = (backends: Backends, key: string): Backends => new Map([...backends].filter(([other]) => other !== key));

/** Removes the backend servers whose lease has expired. */
const expire = (backends: Backends, nowMs: number): Backends =>
    new Map([...backends].filter(([, { renewedAtMs }]) => nowMs - renewedAtMs < LEASE_MS));

const acceptsRequests = ({ drainingSinceMs }: LocalBackend, nowMs: number): boolean =>
    drainingSinceMs === undefined || nowMs - drainingSinceMs < DRAIN_GRACE_MS;

/** Operations on the leases of the backend servers that announced themselves to the node on this host. */
export const localBackends = { keyOf, announce, remove, expire, acceptsRequests } as const;
