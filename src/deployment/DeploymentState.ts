import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { StoredCrashes } from "../crashes/StoredCrashes";
import { StoredDeparture } from "../departures/StoredDeparture";
import { AcceptedOrder } from "./AcceptedOrder";
import { ServiceRollout } from "./ServiceRollout";

/** The replicated state of a deployment: its configuration, the rollouts of its services and the evacuated zones. */
export type DeploymentState = {
    /** Increases with every change that nodes must be notified of. */
    readonly revision: number;
    readonly configuration: MeshConfiguration | undefined;
    /** Digests of accepted configurations, oldest first. A resent configuration is recognized by its digest. */
    readonly acceptedDigests: ReadonlySet<string>;
    /** The orders of operators other than configurations, oldest first. */
    readonly acceptedOrders: readonly AcceptedOrder[];
    /** The last rollout of each service, by service. */
    readonly moves: ReadonlyMap<string, RolloutRecord>;
    /** The availability zones whose backend servers must not get requests. */
    readonly evacuatedZones: ReadonlySet<string>;
    /** The requests that are refused since backend servers crashed under them, by fingerprint. */
    readonly crashRecords: ReadonlyMap<string, StoredCrashes>;
    /** The starts of backend servers that lately left, by the id of the node on their host. */
    readonly departures: ReadonlyMap<string, readonly StoredDeparture[]>;
};

type RolloutRecord = ServiceRollout & {
    /** The revision that started the rollout. */
    readonly id: number;
};
