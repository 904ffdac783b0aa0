import { RoutableBackend } from "./RoutableBackend";
import { ZonedBackends } from "./ZonedBackends";

/** Splits backend servers by whether they are in this node's zone. */
export const splitByZone = (backends: readonly RoutableBackend[], ownZone: string): ZonedBackends => ({
    sameZone: backends.filter(({ zone }) => zone === ownZone),
    otherZones: backends.filter(({ zone }) => zone !== ownZone),
});
