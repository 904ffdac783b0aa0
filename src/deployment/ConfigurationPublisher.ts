import { TokenAnswer } from "../accounts/TokenAnswer";
import { TokenRequest } from "../accounts/TokenRequest";
import { ConfigurationDelta } from "../configuration/ConfigurationDelta";
import { configurationDeltas } from "../configuration/configurationDeltas";
import { digestAccountKeys } from "../configuration/digestAccountKeys";
import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { packedDeltas } from "../configuration/packedDeltas";
import { ControlDepartureMessage } from "../departures/ControlDepartureMessage";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { Channel } from "../transport/Channel";
import { PeerNetwork } from "../transport/PeerNetwork";
import { ConfigurationMessage } from "./ConfigurationMessage";
import { DeploymentState } from "./DeploymentState";
import { emptyDeployment } from "./emptyDeployment";
import { LeaseGrantor } from "./LeaseGrantor";

type Subscriber = {
    readonly send: (message: ConfigurationMessage) => void;
};

/** Versions kept as bases of deltas. A node that is further behind gets the whole configuration. */
const KEPT_VERSIONS = 64;

/** Notifies subscribed nodes of each change and answers their fetches with a delta from the version that they hold. */
export class ConfigurationPublisher {
    private readonly subscribers = new Map<object, Subscriber>();
    private readonly versions = new Map<number, MeshConfiguration>();
    private readonly deltas = new Map<number, ConfigurationDelta>();
    /** Compressed deltas, since each subscriber fetches the same one. */
    private readonly packed = new Map<number, Uint8Array | undefined>();
    private leaderTerm: number | undefined;
    private announced = "";
    private state: DeploymentState = emptyDeployment;

    public constructor(
        network: PeerNetwork,
        private readonly onStatistics: (statistics: readonly RequestStatistics[]) => void,
        private readonly leases: LeaseGrantor,
        private readonly onTokenRequest: (request: TokenRequest, reply: (answer: TokenAnswer) => void) => void,
        private readonly onDeparture: (
            nodeId: string,
            message: ControlDepartureMessage,
            reply: (answer: ControlDepartureMessage) => void,
        ) => Promise<void>,
    ) {
        network.handle(Channel.Configuration, {
            onMessage: (remote, body) => {
                const send = (message: ConfigurationMessage): void => void remote.send(message);
                return this.handleMessage(remote, remote.identity, send, body as ConfigurationMessage);
            },
            onClose: (remote) => this.subscribers.delete(remote),
        });
    }

    /** Publishes a committed state to all subscribers. */
    public publish(committed: DeploymentState): void {
        const configuration = committed.configuration && digestAccountKeys(committed.configuration);
        const state = { ...committed, configuration };
        if (configuration && configuration.version !== this.state.configuration?.version) {
            this.versions.set(configuration.version, configuration);
            this.deltas.clear();
            this.packed.clear();
            const excessVersions = [...this.versions.keys()].slice(0, -KEPT_VERSIONS);
            excessVersions.forEach((version) => this.versions.delete(version));
        }
        this.state = state;
        const message = this.stateMessage();
        // Many log entries change nothing that nodes use; repeating the message would only cost bytes between zones.
        const content = JSON.stringify(message);
        if (content !== this.announced) {
            this.announced = content;
            this.subscribers.forEach(({ send }) => send(message));
        }
    }

    /**
     * Tells the subscribers that this replica leads, so that they send their statistics to it alone.
     * @param term undefined if it does not lead
     */
    public setLeaderTerm(term: number | undefined): void {
        if (term !== undefined && term !== this.leaderTerm) {
            this.subscribers.forEach(({ send }) => send({ kind: "leading", term }));
        }
        this.leaderTerm = term;
    }

    private stateMessage(): ConfigurationMessage {
        const { configuration, evacuatedZones, moves, revision } = this.state;
        return {
            kind: "state",
            revision,
            configurationVersion: configuration?.version ?? 0,
            moves: [...moves.values()],
            evacuatedZones: [...evacuatedZones],
        };
    }

    private handleMessage(
        key: object,
        nodeId: string,
        send: (message: ConfigurationMessage) => void,
        message: ConfigurationMessage,
    ): void | Promise<void> {
        switch (message.kind) {
            case "subscribe":
                this.subscribers.set(key, { send });
                send(this.stateMessage());
                if (this.leaderTerm !== undefined) {
                    send({ kind: "leading", term: this.leaderTerm });
                }
                return;
            case "fetch":
                this.sendDelta(send, message);
                return;
            case "evidence":
                this.onStatistics(message.evidence);
                return;
            case "renew-lease":
                this.leases.renew(key, { number: message.number, send });
                return;
            case "request-tokens":
                this.onTokenRequest(message, send);
                return;
            case "record-departure":
            case "recall-departures":
                return this.onDeparture(nodeId, message, send);
        }
    }

    private sendDelta(
        send: (message: ConfigurationMessage) => void,
        { acceptsPacked, heldVersion }: ConfigurationMessage & { readonly kind: "fetch"; },
    ): void {
        const { configuration } = this.state;
        if (!configuration || heldVersion >= configuration.version) {
            return;
        }
        const delta = this.deltas.get(heldVersion)
            ?? configurationDeltas.between(this.versions.get(heldVersion), configuration);
        this.deltas.set(heldVersion, delta);
        if (!this.packed.has(heldVersion)) {
            this.packed.set(heldVersion, packedDeltas.pack(delta));
        }
        const packed = acceptsPacked ? this.packed.get(heldVersion) : undefined;
        send(packed ? { kind: "packed-delta", packed } : { kind: "delta", delta });
    }
}
