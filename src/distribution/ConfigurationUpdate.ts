import { ServiceContent } from "../catalogue/ServiceContent";
import { ServiceResource } from "./ServiceResource";

/** The difference between what a subscriber holds and what it should hold. */
export type ConfigurationUpdate = {
    readonly sourceRevision: number;
    readonly resources: readonly ServiceResource[];
    /** Contents that the subscriber does not hold yet. Each is checked against its digest. */
    readonly contents: readonly DigestedContent[];
};

type DigestedContent = {
    readonly digest: string;
    readonly content: ServiceContent;
};
