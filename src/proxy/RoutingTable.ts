import { ServiceClass } from "../catalogue/ServiceClass";
import { ServiceContent } from "../catalogue/ServiceContent";

/**
 * Routing by service name. A new configuration replaces the whole table, and a request is routed by the table that was
 * in use when it arrived.
 */
export type RoutingTable = ReadonlyMap<string, ServiceRouting>;

/** The routing of one service: its stable version and, during a rollout, the candidate version. */
type ServiceRouting = {
    readonly service: string;
    readonly revision: number;
    readonly class: ServiceClass;
    readonly stable: VersionRouting | undefined;
    readonly candidate: CandidateRouting | undefined;
};

type VersionRouting = {
    readonly version: number;
    readonly content: ServiceContent;
};

type CandidateRouting = VersionRouting & {
    /** Share of requests that a participating proxy sends to the candidate, from 0 to 1. */
    readonly requestShare: number;
    /** Share of proxies that send requests to the candidate, from 0 to 1. */
    readonly proxyShare: number;
};
