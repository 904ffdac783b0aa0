import { ServiceClass } from "../catalogue/ServiceClass";
import { VersionedContent } from "../catalogue/VersionedContent";

/** The configuration of one service. It refers to its contents by digest; they are sent separately. */
export type ServiceResource = {
    readonly service: string;
    readonly revision: number;
    readonly class: ServiceClass;
    readonly stable: VersionedContent | undefined;
    readonly candidate: CandidateContent | undefined;
};

/** The version that is being rolled out, and its current shares. */
type CandidateContent = VersionedContent & {
    /** Share of requests that go to the candidate, from 0 to 1. */
    readonly requestShare: number;
    /** Share of proxies that use the candidate, from 0 to 1. */
    readonly proxyShare: number;
};
