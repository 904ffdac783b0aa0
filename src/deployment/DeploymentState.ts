import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { ServiceMove } from "./ServiceMove";

/** The replicated state of a deployment: its configuration and its moves. */
export type DeploymentState = {
    /** Rises with every change that nodes must learn of. */
    readonly revision: number;
    readonly configuration: MeshConfiguration | undefined;
    /** Digests of all accepted configurations, so that an exact repetition is recognized. Oldest first. */
    readonly acceptedDigests: ReadonlySet<string>;
    readonly moves: ReadonlyMap<string, TrackedMove>;
};

type TrackedMove = ServiceMove & {
    /** The revision that started the move. */
    readonly id: number;
};
