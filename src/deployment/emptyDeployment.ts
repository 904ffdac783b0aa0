import { DeploymentState } from "./DeploymentState";

/** The state of a deployment before the first command. */
export const emptyDeployment: DeploymentState = {
    revision: 0,
    configuration: undefined,
    acceptedDigests: new Set(),
    acceptedOrders: [],
    moves: new Map(),
    evacuatedZones: new Set(),
    crashRecords: new Map(),
    departures: new Map(),
};
