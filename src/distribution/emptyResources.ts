import { ResourceState } from "./ResourceState";

/** The configuration of a process that has just started. */
export const emptyResources: ResourceState = { sourceRevision: 0, resources: new Map(), contents: new Map() };
