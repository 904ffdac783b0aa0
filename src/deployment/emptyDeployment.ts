import { DeploymentState } from "./DeploymentState";

/** A deployment before the first command. */
export const emptyDeployment: DeploymentState = {
    revision: 0,
    configuration: undefined,
    acceptedDigests: new Set(),
    moves: new Map(),
};
