import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { Evidence } from "./Evidence";
import { ServiceReport } from "./ServiceReport";

/** The messages between a parent (control replica or relay) and its child. */
export type DistributionMessage =
    | {
        /** Child to parent, at the start and whenever the wanted services change. */
        readonly kind: "subscribe";
        readonly zone: string;
        readonly services: readonly string[];
        readonly held: readonly HeldService[];
        readonly sourceRevision: number;
    }
    | { readonly kind: "update"; readonly update: ConfigurationUpdate; }
    | {
        /** Parent to child: everything wanted up to this revision has been sent. */
        readonly kind: "caught-up";
        readonly sourceRevision: number;
    }
    | { readonly kind: "retry-later"; readonly delayMs: number; }
    | {
        /** Child to parent: totals of the subtree for services whose totals changed, and new evidence. */
        readonly kind: "report";
        readonly services: readonly ServiceReport[];
        readonly evidence: readonly Evidence[];
    };

type HeldService = {
    readonly service: string;
    readonly revision: number;
    readonly digests: readonly string[];
};
