import { ServiceRolloutState } from "./ServiceRolloutState";

/**
 * A rollout: gradually sends the requests of a service to the backend servers of another version. Each service
 * keeps its last rollout.
 */
export type ServiceRollout = {
    readonly service: string;
    readonly targetVersion: string;
    readonly state: ServiceRolloutState;
    /** Share of requests that go to the target version, 0 to 1. */
    readonly share: number;
    /** The rollout must end within this time after its acceptance. */
    readonly durationMs: number;
    /** Unix time at the leader when the request for the rollout was accepted, in ms. */
    readonly acceptedAtMs: number;
    /** Why the rollout ended; empty while it runs. */
    readonly reason: string;
    /**
     * True if the leader knows that no other version of the service is left that may get requests. False or undefined if
     * there is one, or if the leader doesn't know. See `versionCensus`.
     */
    readonly isOnlyVersion?: boolean;
    /** True if the leader knew when it accepted the order that no backend server ran the target version. */
    readonly isNewVersion?: boolean;
    /** True if it was rolled back because the target version failed, not for too little evidence. */
    readonly isFaulty?: boolean;
    /** See `excludedVersions`. They get no requests. */
    readonly excludedVersions?: readonly string[];
};
