import { ServiceContent } from "../catalogue/ServiceContent";
import { ServiceResource } from "./ServiceResource";

/** The configuration that a process holds: all services in a control replica, the subscribed ones in a node. */
export type ResourceState = {
    /** All changes of the catalogue up to this revision are contained. */
    readonly sourceRevision: number;
    /** Resources by service. */
    readonly resources: ReadonlyMap<string, ServiceResource>;
    /** Contents by digest. */
    readonly contents: ReadonlyMap<string, ServiceContent>;
};
