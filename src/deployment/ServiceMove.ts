import { ServiceMoveState } from "./ServiceMoveState";

/**
 * A move (rollout): gradually sends the requests of a service to the backend servers of another version. Each service
 * keeps its last move.
 */
export type ServiceMove = {
    readonly service: string;
    readonly targetVersion: string;
    readonly state: ServiceMoveState;
    /** Share of requests that go to the target version, 0 to 1. */
    readonly share: number;
    /** Time from acceptance by which the move must have ended. */
    readonly durationMs: number;
    /** Unix time at the leader when the request for the move was accepted, in ms. */
    readonly acceptedAtMs: number;
    /** Why the move ended; empty while it runs. */
    readonly reason: string;
};
