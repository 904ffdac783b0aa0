import { ConfigurationDelta } from "../configuration/ConfigurationDelta";
import { StoredCrashes } from "../crashes/StoredCrashes";
import { StoredDeparture } from "../departures/StoredDeparture";
import { OrderReference } from "./OrderReference";
import { ServiceRolloutState } from "./ServiceRolloutState";

/**
 * The commands of the replicated log of a deployment. A command whose result depends on the time of the request carries
 * that time, so that it has the same result on every replica.
 */
export type DeploymentCommand =
    | {
        readonly kind: "put-configuration";
        /** The version that the new configuration replaces; 0 for the first one. */
        readonly baseVersion: number;
        /** Applies to the base version, or holds the whole new configuration. */
        readonly delta: ConfigurationDelta;
    }
    | {
        readonly kind: "start-move";
        readonly service: string;
        readonly targetVersion: string;
        readonly durationMs: number;
        /** Unix time in ms at which the leader received the request. */
        readonly atMs: number;
        /** See `ServiceRollout`. */
        readonly isOnlyVersion?: boolean;
        /** See `ServiceRollout`. */
        readonly isNewVersion?: boolean;
        /**
         * True if a running rollout of a new version that this order replaces is rolled back: the leader knows that a
         * version other than the targets of both is in use.
         */
        readonly rollsBackReplaced?: boolean;
        /** Undefined in commands of releases that compared an order with the last rollout of its service alone. */
        readonly order?: OrderReference;
    }
    | {
        readonly kind: "change-share";
        readonly service: string;
        /** The revision that started the rollout. The command has no effect on any other rollout. */
        readonly moveId: number;
        /** Share of requests that go to the target version, 0 to 1. */
        readonly share: number;
    }
    | {
        readonly kind: "end-move";
        readonly service: string;
        readonly moveId: number;
        readonly state: ServiceRolloutState.Finished | ServiceRolloutState.RolledBack;
        readonly reason: string;
        /** See `ServiceRollout`. */
        readonly isFaulty?: boolean;
    }
    | {
        /** Sets whether other versions are left. Also of a rollout that was rolled back, since its version may stay. */
        readonly kind: "set-only-version";
        readonly service: string;
        readonly moveId: number;
        readonly isOnlyVersion: boolean;
    }
    | {
        readonly kind: "start-evacuation" | "stop-evacuation";
        readonly zone: string;
        /** Undefined in commands of releases that compared it with the state of the zone alone. */
        readonly order?: OrderReference;
    }
    | {
        /** Sets and removes records of requests that are refused, so a resent one has no further effect. */
        readonly kind: "record-crashes";
        readonly stored: readonly StoredCrashes[];
        /** Fingerprints. */
        readonly removed: readonly string[];
    }
    | {
        /** Stores a departure from the host of a node. A resent one has no further effect. */
        readonly kind: "record-departure";
        readonly nodeId: string;
        readonly departure: StoredDeparture;
        /** Unix time in ms at which the leader received it. */
        readonly atMs: number;
    };
