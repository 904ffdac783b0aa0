import { CallerLimits } from "./CallerLimits";
import { MeshRoute } from "./MeshRoute";
import { MeshService } from "./MeshService";

/** A configuration of the whole mesh. It is accepted as a whole or not at all. */
export type MeshConfiguration = {
    /** Chosen by the operator. Increases with each accepted configuration, not always by one. */
    readonly version: number;
    readonly routes: readonly MeshRoute[];
    readonly services: readonly MeshService[];
    readonly limits: CallerLimits;
};
