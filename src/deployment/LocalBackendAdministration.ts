import { localInstances } from "../calls/localInstances";

/** What the backend server of this host may tell its node, and what the host may ask. */
export type LocalBackendAdministration = {
    readonly announce: (announcement: Parameters<typeof localInstances.announce>[1]) => void;
    /** @param bornMs the start that leaves; 0 if it is not named */
    readonly leave: (id: string, bornMs: number) => void;
    /** True while callers of this host should be sent here. */
    readonly isReady: () => boolean;
};
