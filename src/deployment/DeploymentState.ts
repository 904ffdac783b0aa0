import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { ServiceMove } from "./ServiceMove";

/** The replicated state of a deployment: its configuration and the moves of its services. */
export type DeploymentState = {
    /** Increases with every change that nodes must be notified of. */
    readonly revision: number;
    readonly configuration: MeshConfiguration | undefined;
    /** Digests of accepted configurations, oldest first. A repeated request is recognized by its digest. */
    readonly acceptedDigests: ReadonlySet<string>;
    /** The last move of each service, by service. */
    readonly moves: ReadonlyMap<string, MoveRecord>;
};

type MoveRecord = ServiceMove & {
    /** The revision that started the move. */
    readonly id: number;
};
