import { ServiceContent } from "../catalogue/ServiceContent";
import { ServiceResource } from "./ServiceResource";

/** The difference between the configuration that a subscriber holds and the one it should hold. */
export type ConfigurationUpdate = {
    /** The source revision that the subscriber has reached once it has applied the update. */
    readonly sourceRevision: number;
    readonly resources: readonly ServiceResource[];
    /** Contents that the subscriber does not hold yet. The subscriber checks each against its digest. */
    readonly contents: readonly DigestedContent[];
};

type DigestedContent = {
    readonly digest: string;
    readonly content: ServiceContent;
};
