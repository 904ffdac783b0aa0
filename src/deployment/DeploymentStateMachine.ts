import { configurationDeltas } from "../configuration/configurationDeltas";
import { StateMachine } from "../consensus/StateMachine";
import { digestOf } from "../core/digestOf";
import { memoizeLatest } from "../core/memoizeLatest";
import { StoredCrashes } from "../crashes/StoredCrashes";
import { StoredDeparture } from "../departures/StoredDeparture";
import { acceptedOrders } from "./acceptedOrders";
import { applyDeploymentCommand } from "./applyDeploymentCommand";
import { DeploymentAnswer } from "./DeploymentAnswer";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { emptyDeployment } from "./emptyDeployment";
import { ServiceRollout } from "./ServiceRollout";

/** Increases when the digest covers other fields. */
const DIGEST_FORMAT = 2;

const configurationDigest = memoizeLatest((configuration: DeploymentState["configuration"]) =>
    configuration && configurationDeltas.digest(configuration)
);

/** The stored form of a `DeploymentState`. */
type Snapshot = {
    readonly revision: number;
    readonly configuration: DeploymentState["configuration"];
    readonly acceptedDigests: readonly string[];
    /** Undefined in snapshots of releases that kept no orders. */
    readonly acceptedOrders?: DeploymentState["acceptedOrders"];
    readonly moves: readonly ReturnType<DeploymentState["moves"]["get"]>[];
    /** Undefined in snapshots of releases without evacuations. */
    readonly evacuatedZones?: readonly string[];
    /** Undefined in snapshots of releases that refuse no requests for crashes. */
    readonly crashRecords?: readonly StoredCrashes[];
    /** Undefined in snapshots of releases that store no departures. */
    readonly departures?: readonly (readonly [string, readonly StoredDeparture[]])[];
};

/** The orders of the last rollouts, as far as a snapshot without orders tells them. */
const ordersOf = (rollouts: readonly ServiceRollout[]): DeploymentState["acceptedOrders"] =>
    [...rollouts]
        .sort((left, right) => left.acceptedAtMs - right.acceptedAtMs)
        .reduce<DeploymentState["acceptedOrders"]>(
            (orders, rollout) =>
                acceptedOrders.add(
                    orders,
                    acceptedOrders.identityOf({ ...rollout, kind: "start-move" }, undefined),
                    rollout.acceptedAtMs,
                ),
            [],
        );

/** The state machine that applies the replicated log to the state of a deployment. */
export class DeploymentStateMachine extends StateMachine {
    private current: DeploymentState = emptyDeployment;

    /** @param onChange is called with each changed state, and with its command unless a snapshot was restored */
    public constructor(private readonly onChange: (state: DeploymentState, command?: DeploymentCommand) => void) {
        super();
    }

    public get state(): DeploymentState {
        return this.current;
    }

    public override apply(command: unknown): DeploymentAnswer {
        const { answer, state } = applyDeploymentCommand(this.current, command as DeploymentCommand);
        const changed = state !== this.current;
        this.current = state;
        if (changed) {
            this.onChange(state, command as DeploymentCommand);
        }
        return answer;
    }

    public override digest(): string {
        const {
            acceptedDigests,
            acceptedOrders: orders,
            configuration,
            crashRecords,
            departures,
            evacuatedZones,
            moves,
            revision,
        } = this.current;
        const digest = digestOf({
            revision,
            configuration: configurationDigest(configuration),
            accepted: acceptedDigests.size,
            orders,
            moves: [...moves.values()],
            evacuatedZones: [...evacuatedZones],
            crashRecords: [...crashRecords.values()],
            departures: [...departures],
        });
        return `${DIGEST_FORMAT}:${digest}`;
    }

    public override takeSnapshot(): unknown {
        const { acceptedDigests, configuration, crashRecords, departures, evacuatedZones, moves, revision } =
            this.current;
        const snapshot: Snapshot = {
            revision,
            configuration,
            acceptedDigests: [...acceptedDigests],
            acceptedOrders: this.current.acceptedOrders,
            moves: [...moves.values()],
            evacuatedZones: [...evacuatedZones],
            crashRecords: [...crashRecords.values()],
            departures: [...departures],
        };
        return snapshot;
    }

    public override restoreSnapshot(data: unknown): void {
        if (data === undefined) {
            this.current = emptyDeployment;
            return;
        }
        const {
            acceptedDigests,
            acceptedOrders: orders,
            configuration,
            crashRecords = [],
            departures = [],
            evacuatedZones = [],
            moves,
            revision,
        } = data as Snapshot;
        const rolloutEntries = moves.flatMap((rollout) => (rollout ? [[rollout.service, rollout] as const] : []));
        this.current = {
            revision,
            configuration,
            acceptedDigests: new Set(acceptedDigests),
            acceptedOrders: orders ?? ordersOf(rolloutEntries.map(([, rollout]) => rollout)),
            moves: new Map(rolloutEntries),
            evacuatedZones: new Set(evacuatedZones),
            crashRecords: new Map(crashRecords.map((record) => [record.fingerprint, record])),
            departures: new Map(departures),
        };
        this.onChange(this.current);
    }
}
