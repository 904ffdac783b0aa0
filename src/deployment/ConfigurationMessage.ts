import { ConfigurationDelta } from "../configuration/ConfigurationDelta";
import { Evidence } from "../distribution/Evidence";
import { ServiceMove } from "./ServiceMove";

/** The messages between control replicas and nodes about what is in force. */
export type ConfigurationMessage =
    /** Node to control: tell me of every change from now on. */
    | { readonly kind: "subscribe"; }
    | {
        /** Control to node, at the start and at each change. The configuration itself is fetched. */
        readonly kind: "state";
        readonly revision: number;
        /** 0 while there is no configuration. */
        readonly configurationVersion: number;
        readonly moves: readonly ServiceMove[];
    }
    /** Node to control: send what leads from the version that I hold to the newest. */
    | { readonly kind: "fetch"; readonly heldVersion: number; }
    | { readonly kind: "delta"; readonly delta: ConfigurationDelta; }
    /** Node to control: what happened to requests of services that are being moved. */
    | { readonly kind: "evidence"; readonly evidence: readonly Evidence[]; };
