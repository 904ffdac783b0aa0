import { CallerLimits } from "./CallerLimits";
import { MeshRoute } from "./MeshRoute";
import { MeshService } from "./MeshService";

/** What turns one version of the configuration into another. */
export type ConfigurationDelta = {
    /** The version that it applies to; 0 stands for no configuration. */
    readonly fromVersion: number;
    readonly version: number;
    readonly removedRoutes: readonly string[];
    readonly changedRoutes: readonly MeshRoute[];
    readonly removedServices: readonly string[];
    readonly changedServices: readonly MeshService[];
    readonly limits: CallerLimits;
    /** Of the whole configuration that results, to prove that nothing was lost on the way. */
    readonly digest: string;
};
