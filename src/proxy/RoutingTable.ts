import { ServiceClass } from "../catalogue/ServiceClass";
import { ServiceContent } from "../catalogue/ServiceContent";

/** What a node routes by. It is replaced whole: a request sees one table from its start to its end. */
export type RoutingTable = ReadonlyMap<string, ServiceRouting>;

/** How to route one service. */
type ServiceRouting = {
    readonly service: string;
    readonly revision: number;
    readonly class: ServiceClass;
    readonly stable: VersionRouting | undefined;
    readonly candidate: CandidateRouting | undefined;
};

type VersionRouting = {
    readonly version: number;
    readonly content: ServiceContent;
};

type CandidateRouting = VersionRouting & {
    readonly requestShare: number;
    readonly proxyShare: number;
};
