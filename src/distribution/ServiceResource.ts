import { ServiceClass } from "../catalogue/ServiceClass";
import { VersionedContent } from "../catalogue/VersionedContent";

/** What a proxy is told of one service. Contents travel apart, named by their digests. */
export type ServiceResource = {
    readonly service: string;
    readonly revision: number;
    readonly class: ServiceClass;
    readonly stable: VersionedContent | undefined;
    readonly candidate: CandidateContent | undefined;
};

/** The version that a move brings in, and its present share. */
type CandidateContent = VersionedContent & {
    readonly requestShare: number;
    readonly proxyShare: number;
};
