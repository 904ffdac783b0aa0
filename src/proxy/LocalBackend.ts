import { BackendEndpoint } from "../membership/BackendEndpoint";

/** A backend server on this host. Times are on the monotonic clock, in milliseconds. */
export type LocalBackend = BackendEndpoint & {
    /** IP:PORT on which the backend server listens. */
    readonly address: string;
    /** When the backend server last announced itself, which renews its lease. */
    readonly renewedAtMs: number;
    /** When it began to drain, undefined while it is ready. */
    readonly drainingSinceMs: number | undefined;
};
