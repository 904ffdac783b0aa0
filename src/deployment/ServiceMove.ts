import { ServiceMoveState } from "./ServiceMoveState";

/** The move of a service's requests to the backend servers of another version. The last one of a service is kept. */
export type ServiceMove = {
    readonly service: string;
    readonly targetVersion: string;
    readonly state: ServiceMoveState;
    /** Share of requests that go to the target version, 0 to 1. */
    readonly share: number;
    readonly durationMs: number;
    /** The leader's time of day when the order was accepted, in ms. */
    readonly acceptedAtMs: number;
    /** Why the move ended; empty while it runs. */
    readonly reason: string;
};
