import { TokenAnswer } from "../accounts/TokenAnswer";
import { configurationDeltas } from "../configuration/configurationDeltas";
import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { packedDeltas } from "../configuration/packedDeltas";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { ControlDepartureMessage } from "../departures/ControlDepartureMessage";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { chooseFetchSource } from "./chooseFetchSource";
import { ConfigurationMessage } from "./ConfigurationMessage";
import { ServiceRollout } from "./ServiceRollout";

/** Dependencies and callbacks of a `ConfigurationSubscriber`. */
type SubscriberOptions = {
    readonly network: PeerNetwork;
    readonly log: EventLog;
    readonly onConfiguration: (configuration: MeshConfiguration) => void;
    /** Called with the rollouts of all services, by service. */
    readonly onRollouts: (rollouts: ReadonlyMap<string, ServiceRollout>) => void;
    /** Called with all evacuated zones and the revision of the state that they are part of. */
    readonly onEvacuations: (evacuatedZones: ReadonlySet<string>, revision: number) => void;
    /** Called with the answer of a control replica to a renewal of the lease. */
    readonly onLease: (address: string, lease: ConfigurationMessage & { readonly kind: "lease"; }) => void;
    /** Called with an answer of the control replica at this address. */
    readonly onTokens: (answer: TokenAnswer, address: string) => void;
    /** Called when the link to a control replica opens, and when the replica says that it leads. */
    readonly onControl?: (address: string) => void;
    readonly onDepartures?: (message: ControlDepartureMessage) => void;
    /** Called when what a control replica sent can't be read or does not match its digest. */
    readonly onRejected?: () => void;
};

/** The connection to one control replica. */
type ControlConnection = {
    readonly link: ReturnType<PeerNetwork["open"]>;
    /** The newest configuration version that this replica announced; 0 while it is not connected. */
    announcedVersion: number;
    /** See `FetchSource`. */
    delays: number;
    /** The consensus term in which it last said that it leads; 0 if it did not. */
    leaderTerm: number;
};

/** A fetch that takes longer is repeated, preferably at another replica. Enough for many network round trips. */
const FETCH_TIMEOUT_MS = 300;

/**
 * The same for the first configuration. 2,200 routes take about 43 kB, which a link of 2 Mbit/s carries in 0.17 s, and
 * other traffic shares the link. A repeated fetch would only add to it.
 */
const FIRST_FETCH_TIMEOUT_MS = 500;

/** A replica whose configuration was rejected twice is asked again this much later: it may have to recover. */
const REJECTED_FETCH_DELAY_MS = 300;

/**
 * How long a replica of this node's zone may announce a version later than one of another zone. Replicas learn of a
 * commit within a heartbeat of the leader, 100 ms.
 */
const OWN_ZONE_DELAY_MS = 150;

/**
 * Keeps this node on the newest configuration. Subscribes to every control replica and fetches a new version from one of
 * its own zone, or after a short delay from another. Never returns to an older version.
 */
export class ConfigurationSubscriber implements Disposable {
    private readonly resources = new DisposableStore();
    /** By peer address. */
    private readonly controls = new Map<string, ControlConnection>();
    private heldConfiguration: MeshConfiguration | undefined;
    private revision = 0;
    /** Address of the replica that the pending fetch was sent to; undefined if none is pending. */
    private fetchAddress: string | undefined;
    private fetchTimer: NodeJS.Timeout | undefined;
    /** True while the timer runs because a replica of the zone is expected to announce a version. */
    private isWaiting = false;
    private zoneAddresses: ReadonlySet<string> = new Set();
    /** True after a delta could not be applied. */
    private needsFullConfiguration = false;
    /** The replicas whose last answers brought no newer configuration. */
    private readonly rejectedSources = new Set<string>();

    public constructor(private readonly options: SubscriberOptions) {
        this.resources.add({ dispose: () => clearTimeout(this.fetchTimer) });
        this.resources.add({ dispose: () => this.controls.forEach(({ link }) => link.dispose()) });
    }

    /** The configuration in force; undefined until the first one arrives. */
    public get current(): MeshConfiguration | undefined {
        return this.heldConfiguration;
    }

    /** True if the link to any control replica is open. */
    public get isConnected(): boolean {
        return [...this.controls.values()].some(({ link }) => link.isOpen());
    }

    /**
     * Connects to the control replicas at these peer addresses and closes the connections to all others.
     * @param zoneAddresses those that are known to be in this node's zone
     */
    public setControlAddresses(addresses: ReadonlySet<string>, zoneAddresses: ReadonlySet<string> = new Set()): void {
        this.zoneAddresses = zoneAddresses;
        for (const [address, { link }] of this.controls) {
            if (!addresses.has(address)) {
                this.controls.delete(address);
                link.dispose();
            }
        }
        addresses.forEach((address) => this.connect(address));
    }

    /** Sends a message to the replica at this address, or to all if there is none at it. */
    public send(message: ConfigurationMessage, address: string | undefined): void {
        const control = address === undefined ? undefined : this.controls.get(address);
        (control ? [control] : [...this.controls.values()]).forEach(({ link }) => link.send(message));
    }

    /** Sends request statistics to the leader, or to every connected replica while the leader is not known. */
    public sendStatistics(statistics: readonly RequestStatistics[]): void {
        const message: ConfigurationMessage = { kind: "evidence", evidence: statistics };
        const controls = [...this.controls.values()];
        const term = Math.max(0, ...controls.map(({ leaderTerm }) => leaderTerm));
        const leader = term > 0 ? controls.find(({ leaderTerm }) => leaderTerm === term) : undefined;
        if (!leader || leader.link.send(message) === 0) {
            controls.forEach(({ link }) => link.send(message));
        }
    }

    /**
     * Sends a renewal of the lease to the control replica at an address, or to all if it is undefined. Returns false if
     * none of them is connected.
     */
    public sendRenewal(number: number, address: string | undefined): boolean {
        const message: ConfigurationMessage = { kind: "renew-lease", number };
        const receivers = [...this.controls].filter(([candidate]) => (address ?? candidate) === candidate);
        return receivers.filter(([, { link }]) => link.send(message) > 0).length > 0;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private connect(addressText: string): void {
        const address = parseAddress(addressText);
        if (!address || this.controls.has(addressText)) {
            return;
        }
        const link = this.options.network.open(Channel.Configuration, address, {
            onOpen: () => {
                this.options.log.info("control-connected", { control: addressText });
                link.send({ kind: "subscribe" } satisfies ConfigurationMessage);
                this.options.onControl?.(addressText);
            },
            onMessage: (body) => this.handleMessage(addressText, body as ConfigurationMessage),
            onClose: () => this.onClosed(addressText),
        });
        this.controls.set(addressText, { link, announcedVersion: 0, delays: 0, leaderTerm: 0 });
    }

    private onClosed(address: string): void {
        this.options.log.warn("control-lost", { control: address, revision: this.revision });
        const control = this.controls.get(address);
        if (control) {
            control.announcedVersion = 0;
            control.leaderTerm = 0;
        }
        if (this.fetchAddress === address) {
            this.endFetch(false);
        }
    }

    private handleMessage(address: string, message: ConfigurationMessage): void {
        const control = this.controls.get(address);
        switch (message.kind) {
            case "state":
                this.onState(address, message);
                return;
            case "delta":
                this.onDelta(address, message.delta);
                return;
            case "packed-delta":
                this.onDelta(address, packedDeltas.unpack(message.packed));
                return;
            case "leading":
                if (control) {
                    control.leaderTerm = message.term;
                }
                this.options.onControl?.(address);
                return;
            case "lease":
                this.options.onLease(address, message);
                return;
            case "tokens":
                this.options.onTokens(message, address);
                return;
            case "departure-recorded":
            case "departures":
                this.options.onDepartures?.(message);
                return;
        }
    }

    private onState(address: string, message: ConfigurationMessage & { readonly kind: "state"; }): void {
        const control = this.controls.get(address);
        if (!control) {
            return;
        }
        control.announcedVersion = message.configurationVersion;
        control.delays = 0;
        if (message.revision > this.revision) {
            this.revision = message.revision;
            this.options.onEvacuations(new Set(message.evacuatedZones), message.revision);
            this.options.onRollouts(new Map(message.moves.map((rollout) => [rollout.service, rollout])));
        }
        if (!this.fetchAddress) {
            this.fetchNewest(true);
        }
    }

    private fetchFrom(address: string): void {
        const heldVersion = this.needsFullConfiguration ? 0 : this.heldConfiguration?.version ?? 0;
        const message: ConfigurationMessage = { kind: "fetch", heldVersion, acceptsPacked: true };
        if (!this.controls.get(address)?.link.send(message)) {
            return;
        }
        this.fetchAddress = address;
        const timeoutMs = this.heldConfiguration ? FETCH_TIMEOUT_MS : FIRST_FETCH_TIMEOUT_MS;
        this.startTimer(timeoutMs, () => {
            this.countDelay([address]);
            this.endFetch(false);
        });
    }

    private onDelta(address: string, delta: Parameters<typeof configurationDeltas.patch>[1] | undefined): void {
        const heldVersion = this.heldConfiguration?.version ?? 0;
        if (!delta) {
            this.options.log.warn("configuration-rejected", { control: address, reason: "unreadable" });
            this.options.onRejected?.();
        }
        else if (delta.version > heldVersion) {
            this.applyDelta(address, delta);
        }
        const isApplied = (this.heldConfiguration?.version ?? 0) > heldVersion;
        if (!isApplied) {
            this.countDelay([address]);
        }
        if (address !== this.fetchAddress) {
            return;
        }
        const isRejectedAgain = (!delta || this.needsFullConfiguration) && this.rejectedSources.has(address);
        if (isApplied) {
            this.rejectedSources.clear();
        }
        else {
            this.rejectedSources.add(address);
        }
        if (isRejectedAgain) {
            this.startTimer(REJECTED_FETCH_DELAY_MS, () => this.endFetch(false));
            return;
        }
        this.endFetch(isApplied);
    }

    private applyDelta(address: string, delta: Parameters<typeof configurationDeltas.patch>[1]): void {
        const next = configurationDeltas.patch(this.heldConfiguration, delta);
        this.needsFullConfiguration = !next;
        if (!next) {
            const { fromVersion, version } = delta;
            this.options.log.warn("configuration-rejected", { control: address, fromVersion, version });
            this.options.onRejected?.();
            return;
        }
        const previousVersion = this.heldConfiguration?.version ?? 0;
        this.heldConfiguration = next;
        this.options.log.info("configuration-in-force", {
            version: next.version,
            previousVersion,
            control: address,
            changedRoutes: delta.changedRoutes.length,
            removedRoutes: delta.removedRoutes.length,
        });
        this.options.onConfiguration(next);
    }

    /** Ends the pending fetch and starts the next one if a newer version was announced. */
    private endFetch(mayWait: boolean): void {
        this.fetchAddress = undefined;
        clearTimeout(this.fetchTimer);
        this.fetchNewest(mayWait);
    }

    private fetchNewest(mayWait: boolean): void {
        const sources = [...this.controls].map(([address, { announcedVersion, delays, link }]) => ({
            address,
            announcedVersion,
            delays,
            isConnected: link.isOpen(),
            isInZone: this.zoneAddresses.has(address),
        }));
        const choice = chooseFetchSource(sources, this.heldConfiguration?.version ?? 0, mayWait);
        if (choice.kind === "fetch") {
            this.fetchFrom(choice.address);
        }
        if (choice.kind === "wait" && !this.isWaiting) {
            this.startTimer(OWN_ZONE_DELAY_MS, () => {
                this.countDelay(choice.addresses);
                this.fetchNewest(false);
            });
            this.isWaiting = true;
        }
    }

    private startTimer(delayMs: number, onEnd: () => void): void {
        clearTimeout(this.fetchTimer);
        this.isWaiting = false;
        this.fetchTimer = setTimeout(() => {
            this.isWaiting = false;
            onEnd();
        }, delayMs);
    }

    private countDelay(addresses: readonly string[]): void {
        addresses.forEach((address) => {
            const control = this.controls.get(address);
            if (control) {
                control.delays += 1;
            }
        });
    }
}
