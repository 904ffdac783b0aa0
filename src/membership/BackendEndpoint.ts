import { EndpointState } from "./EndpointState";

/** A backend server as it announced itself to its host's node. */
export type BackendEndpoint = {
    readonly service: string;
    readonly backendVersion: string;
    /** Requests that the backend server works on at the same time. */
    readonly slots: number;
    readonly state: EndpointState;
    /** Tells one start of a backend server from another, where announcements name it. */
    readonly instanceId?: string;
    /** Slow start that remained when it was announced. */
    readonly coldRemainingMs?: number;
};
