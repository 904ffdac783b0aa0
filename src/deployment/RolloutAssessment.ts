import { DeploymentCommand } from "./DeploymentCommand";

/** What the leader knows of the versions in use when an order arrives, see the command. */
export type RolloutAssessment = Required<
    Pick<DeploymentCommand & { readonly kind: "start-move"; }, "isNewVersion" | "isOnlyVersion" | "rollsBackReplaced">
>;
