import { ConfigurationDelta } from "../configuration/ConfigurationDelta";
import { ServiceMoveState } from "./ServiceMoveState";

/** The commands of the replicated deployment. Times come with the command, so that every replica applies the same. */
export type DeploymentCommand =
    | {
        readonly kind: "put-configuration";
        /** The version that the new configuration builds on; 0 for the first one. */
        readonly baseVersion: number;
        /** From the base version, or from nothing. */
        readonly delta: ConfigurationDelta;
    }
    | {
        readonly kind: "start-move";
        readonly service: string;
        readonly targetVersion: string;
        readonly durationMs: number;
        readonly atMs: number;
    }
    | {
        readonly kind: "change-share";
        readonly service: string;
        /** The revision that started the move. A command about another move does nothing. */
        readonly moveId: number;
        readonly share: number;
    }
    | {
        readonly kind: "end-move";
        readonly service: string;
        readonly moveId: number;
        readonly state: ServiceMoveState.Finished | ServiceMoveState.TakenBack;
        readonly reason: string;
    };
