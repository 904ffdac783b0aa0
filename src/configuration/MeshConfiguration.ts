import { CallerLimits } from "./CallerLimits";
import { MeshRoute } from "./MeshRoute";
import { MeshService } from "./MeshService";

/** A configuration of the whole mesh. It is accepted whole or not at all. */
export type MeshConfiguration = {
    /** Chosen by the operator. Rises from one accepted configuration to the next, not always by one. */
    readonly version: number;
    readonly routes: readonly MeshRoute[];
    readonly services: readonly MeshService[];
    readonly limits: CallerLimits;
};
