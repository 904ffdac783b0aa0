import { CallerLimits } from "./CallerLimits";
import { ClientAccount } from "./ClientAccount";
import { MeshRoute } from "./MeshRoute";
import { MeshService } from "./MeshService";

/** The changes from one version of the configuration to another. */
export type ConfigurationDelta = {
    /** The version that the delta applies to; 0 if it holds the whole configuration and replaces any version. */
    readonly fromVersion: number;
    readonly version: number;
    /** Names of routes. */
    readonly removedRoutes: readonly string[];
    /** Added and changed routes. */
    readonly changedRoutes: readonly MeshRoute[];
    /** Names of services. */
    readonly removedServices: readonly string[];
    /** Added and changed services. */
    readonly changedServices: readonly MeshService[];
    readonly limits: CallerLimits;
    /** Undefined if the resulting configuration has no accounts. */
    readonly accounts?: AccountChanges;
    /** Those of the resulting configuration, see `MeshConfiguration`. */
    readonly extensions?: string;
    /** Digest of the whole resulting configuration; detects losses in transmission. */
    readonly digest: string;
};

type AccountChanges = {
    /** Names of accounts. */
    readonly removed: readonly string[];
    /** Added and changed accounts. */
    readonly changed: readonly ClientAccount[];
};
