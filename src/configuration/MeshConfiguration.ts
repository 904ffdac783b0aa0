import { CallerLimits } from "./CallerLimits";
import { ClientAccount } from "./ClientAccount";
import { MeshRoute } from "./MeshRoute";
import { MeshService } from "./MeshService";

/** A configuration of the whole mesh. It is accepted as a whole or not at all. */
export type MeshConfiguration = {
    /** Chosen by the operator. Increases with each accepted configuration, not always by one. */
    readonly version: number;
    readonly routes: readonly MeshRoute[];
    readonly services: readonly MeshService[];
    readonly limits: CallerLimits;
    /** Undefined if the mesh does not know client accounts: callers then need no key. */
    readonly accounts?: readonly ClientAccount[];
    /** Fields that this release does not use, as the text of a JSON object. Kept for operators, who read them back. */
    readonly extensions?: string;
};
