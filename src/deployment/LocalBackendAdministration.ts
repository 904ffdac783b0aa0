import { localInstances } from "../calls/localInstances";

/** What a node offers to its host: registration of the local backend server, and a readiness check. */
export type LocalBackendAdministration = {
    /** False if the backend server states its start in each announcement: one without it is not of that backend server. */
    readonly mayOmitStart: () => boolean;
    /** Handles an announcement of the backend server. Resolves to whether it may be acknowledged. */
    readonly announce: (announcement: Parameters<typeof localInstances.announce>[1]) => Promise<boolean>;
    /**
     * Handles the deregistration of the backend server. Resolves to whether it may be acknowledged.
     * @param bornMs Unix time in ms at which the deregistered process started; 0 if the message does not state it
     */
    readonly deregister: (id: string, bornMs: number) => Promise<boolean>;
    /**
     * True if callers on this host should send requests to the node: it has a configuration and is not stopping. A
     * stopping node still serves callers until the platform has noticed the stop.
     */
    readonly isReady: () => boolean;
};
