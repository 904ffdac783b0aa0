import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { RequestStatistics } from "./RequestStatistics";
import { ServiceReport } from "./ServiceReport";

/** Messages between a parent (control replica or relay) and its child. */
export type DistributionMessage =
    | {
        /** Child to parent, when a link opens, when the wanted services change and after an update was rejected. */
        readonly kind: "subscribe";
        readonly zone: string;
        readonly services: readonly string[];
        /** What the child holds already. */
        readonly held: readonly HeldService[];
        /** The source revision that the child has reached. */
        readonly sourceRevision: number;
    }
    | {
        /** Parent to child: services that changed. */
        readonly kind: "update";
        readonly update: ConfigurationUpdate;
    }
    | {
        /** Parent to child: all changes up to this revision that concern the child have been sent. */
        readonly kind: "caught-up";
        readonly sourceRevision: number;
    }
    | {
        /** Parent to child: too many subscriptions at the moment; the child should reconnect after the delay. */
        readonly kind: "retry-later";
        readonly delayMs: number;
    }
    | {
        /** Child to parent: changed totals of the services in its subtree, and as `evidence` new request statistics. */
        readonly kind: "report";
        readonly services: readonly ServiceReport[];
        readonly evidence: readonly RequestStatistics[];
    };

type HeldService = {
    readonly service: string;
    readonly revision: number;
    readonly digests: readonly string[];
};
