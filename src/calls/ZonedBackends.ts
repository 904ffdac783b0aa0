import { RoutableBackend } from "./RoutableBackend";

/** Backend servers that a request may be sent to, split by availability zone: this node's own and all others. */
export type ZonedBackends = {
    readonly sameZone: readonly RoutableBackend[];
    readonly otherZones: readonly RoutableBackend[];
};
