import { EndpointState } from "./EndpointState";

/** A backend server, as announced to the node on its host. */
export type BackendEndpoint = {
    readonly service: string;
    readonly backendVersion: string;
    /** Requests that the backend server can process at the same time. */
    readonly slots: number;
    readonly state: EndpointState;
    /** True if the backend server itself leaves. Undefined if it is draining since the node on its host stops. */
    readonly isLeaving?: boolean;
    /** Identifies one run of the backend server. Undefined if announcements do not carry it. */
    readonly instanceId?: string;
    /** Unix time in ms at which it started. Undefined or 0 if announcements do not carry it. */
    readonly bornMs?: number;
    /** Time left of its slow start when this record was announced, in milliseconds. */
    readonly coldRemainingMs?: number;
};
