import { RequestKind } from "./RequestKind";

/** Maps requests to services and states how they may be handled. */
export type MeshRoute = {
    readonly name: string;
    /** The host name in the requests of callers, in lower case and without a port. */
    readonly host: string;
    /** Begins and ends with a slash. Of the routes of a host, the one with the longest matching prefix is used. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Time after which a request fails. */
    readonly timeoutMs: number;
    /** The latency that responses should keep; later responses are worth less to the caller. */
    readonly targetLatencyMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The largest number of backend servers that one request may be sent to. */
    readonly maximumAttempts: number;
    readonly destinations: readonly WeightedService[];
    /** True if the operator specified the destinations with weights, even if there is only one. */
    readonly weighted: boolean;
    /** True if callers need no key. Undefined if the configuration does not state it. */
    readonly allowsAnonymous?: boolean;
    /** See `MeshConfiguration`. */
    readonly extensions?: string;
};

/** A service and its weight among the destinations of a route. */
type WeightedService = {
    readonly service: string;
    readonly weight: number;
    /** See `MeshConfiguration`. */
    readonly extensions?: string;
};
