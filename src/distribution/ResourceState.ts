import { ServiceContent } from "../catalogue/ServiceContent";
import { ServiceResource } from "./ServiceResource";

/** The configuration that a process holds: control everything, a proxy what it subscribes to. */
export type ResourceState = {
    /** Everything up to this revision of the source is contained. */
    readonly sourceRevision: number;
    readonly resources: ReadonlyMap<string, ServiceResource>;
    readonly contents: ReadonlyMap<string, ServiceContent>;
};
