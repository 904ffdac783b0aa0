import { BackendEndpoint } from "../membership/BackendEndpoint";

/** A backend server of this host. */
export type LocalBackend = BackendEndpoint & {
    /** IP:PORT on which it serves. */
    readonly address: string;
    readonly renewedAtMs: number;
    /** When it began to drain, undefined while it is ready. */
    readonly drainingSinceMs: number | undefined;
};
