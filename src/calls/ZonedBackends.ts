import { BackendEndpoint } from "./BackendEndpoint";

/** Backend servers that a request may be sent to, split by availability zone: this node's own and all others. */
export type ZonedBackends = {
    readonly sameZone: readonly BackendEndpoint[];
    readonly otherZones: readonly BackendEndpoint[];
};
