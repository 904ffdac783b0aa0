import { TokenAnswer } from "../accounts/TokenAnswer";
import { TokenRequest } from "../accounts/TokenRequest";
import { ConfigurationDelta } from "../configuration/ConfigurationDelta";
import { ControlDepartureMessage } from "../departures/ControlDepartureMessage";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { ServiceRollout } from "./ServiceRollout";

/** The messages by which control replicas distribute the configuration, the rollouts and the evacuations to nodes. */
export type ConfigurationMessage =
    /** Node to control: requests a `state` message now and at every change. */
    | { readonly kind: "subscribe"; }
    | {
        /** Control to node, on subscription and at each change. The node fetches the configuration itself. */
        readonly kind: "state";
        /** The revision of the deployment; see `DeploymentState`. */
        readonly revision: number;
        /** 0 while there is no configuration. */
        readonly configurationVersion: number;
        readonly moves: readonly ServiceRollout[];
        readonly evacuatedZones: readonly string[];
    }
    | {
        /** Node to control: requests the delta from this version to the newest one. */
        readonly kind: "fetch";
        /** 0 requests the whole configuration. */
        readonly heldVersion: number;
        /** True if the node understands `packed-delta`. */
        readonly acceptsPacked?: boolean;
    }
    /** Control to node: the answer to `fetch`. */
    | { readonly kind: "delta"; readonly delta: ConfigurationDelta; }
    /** The same with a compressed delta; see `packedDeltas`. */
    | { readonly kind: "packed-delta"; readonly packed: Uint8Array; }
    /** Control to node, on subscription and on a change: this replica leads in the term of the consensus. */
    | { readonly kind: "leading"; readonly term: number; }
    /** Node to control: request outcomes of services with a running rollout. */
    | { readonly kind: "evidence"; readonly evidence: readonly RequestStatistics[]; }
    /** Node to control: requests a lease for serving requests with keys. Only the leader answers. */
    | { readonly kind: "renew-lease"; readonly number: number; }
    /** Control to node: the answer to the renewal of that number, with the version that was accepted last. */
    | { readonly kind: "lease"; readonly number: number; readonly version: number; }
    | ControlDepartureMessage
    | TokenRequest
    | TokenAnswer;
