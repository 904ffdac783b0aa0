import { EndpointState } from "./EndpointState";

/** A backend server as it announced itself to its host's node. */
export type BackendEndpoint = {
    readonly service: string;
    readonly backendVersion: string;
    /** Requests that the backend server works on at the same time. */
    readonly slots: number;
    readonly state: EndpointState;
};
