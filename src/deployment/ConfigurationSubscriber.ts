import { configurationDeltas } from "../configuration/configurationDeltas";
import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { Evidence } from "../distribution/Evidence";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { ConfigurationMessage } from "./ConfigurationMessage";
import { ServiceMove } from "./ServiceMove";

/** What the node's side of distribution is built from. */
type SubscriberOptions = {
    readonly network: PeerNetwork;
    readonly log: EventLog;
    readonly onConfiguration: (configuration: MeshConfiguration) => void;
    readonly onMoves: (moves: ReadonlyMap<string, ServiceMove>) => void;
};

type ControlLink = {
    readonly link: ReturnType<PeerNetwork["open"]>;
    /** The newest version that this replica announced. */
    announcedVersion: number;
};

/** An answer that does not come within this time is asked of another replica: many round trips, a part of a second. */
const FETCH_TIMEOUT_MS = 300;

/**
 * Keeps this node on the newest configuration: hears of changes from every control replica and fetches what
 * differs from the first that has it. What is held never goes back to an older version.
 */
export class ConfigurationSubscriber implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly controls = new Map<string, ControlLink>();
    private held: MeshConfiguration | undefined;
    private revision = 0;
    private askedAddress: string | undefined;
    private fetchTimer: NodeJS.Timeout | undefined;
    private needsWhole = false;

    public constructor(private readonly options: SubscriberOptions) {
        this.resources.add({ dispose: () => clearTimeout(this.fetchTimer) });
        this.resources.add({ dispose: () => this.controls.forEach(({ link }) => link.dispose()) });
    }

    public get present(): MeshConfiguration | undefined {
        return this.held;
    }

    /** Follows the control replicas at these peer addresses. */
    public follow(addresses: ReadonlySet<string>): void {
        for (const [address, { link }] of this.controls) {
            if (!addresses.has(address)) {
                this.controls.delete(address);
                link.dispose();
            }
        }
        addresses.forEach((address) => this.openTo(address));
    }

    /** Sends evidence to every replica that can be reached; the leader among them uses it. */
    public report(evidence: readonly Evidence[]): void {
        const message: ConfigurationMessage = { kind: "evidence", evidence };
        this.controls.forEach(({ link }) => link.send(message));
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private openTo(text: string): void {
        const address = parseAddress(text);
        if (!address || this.controls.has(text)) {
            return;
        }
        const link = this.options.network.open(Channel.Configuration, address, {
            onOpen: () => {
                this.options.log.info("control-connected", { control: text });
                link.send({ kind: "subscribe" } satisfies ConfigurationMessage);
            },
            onMessage: (body) => this.receive(text, body as ConfigurationMessage),
            onClose: () => this.onClosed(text),
        });
        this.controls.set(text, { link, announcedVersion: 0 });
    }

    private onClosed(address: string): void {
        this.options.log.warn("control-lost", { control: address, revision: this.revision });
        const control = this.controls.get(address);
        if (control) {
            control.announcedVersion = 0;
        }
        if (this.askedAddress === address) {
            this.askAnother();
        }
    }

    private receive(address: string, message: ConfigurationMessage): void {
        if (message.kind === "state") {
            this.onState(address, message);
            return;
        }
        if (message.kind === "delta") {
            this.onDelta(address, message);
        }
    }

    private onState(address: string, message: ConfigurationMessage & { readonly kind: "state"; }): void {
        const control = this.controls.get(address);
        if (!control) {
            return;
        }
        control.announcedVersion = message.configurationVersion;
        if (message.revision > this.revision) {
            this.revision = message.revision;
            this.options.onMoves(new Map(message.moves.map((move) => [move.service, move])));
        }
        if (!this.askedAddress) {
            this.fetchFrom(address);
        }
    }

    private fetchFrom(address: string): void {
        const control = this.controls.get(address);
        const heldVersion = this.held?.version ?? 0;
        if (!control || control.announcedVersion <= heldVersion) {
            return;
        }
        const asked = this.needsWhole ? 0 : heldVersion;
        if (control.link.send({ kind: "fetch", heldVersion: asked } satisfies ConfigurationMessage) === 0) {
            return;
        }
        this.askedAddress = address;
        clearTimeout(this.fetchTimer);
        this.fetchTimer = setTimeout(() => this.askAnother(), FETCH_TIMEOUT_MS);
    }

    private onDelta(address: string, { delta }: ConfigurationMessage & { readonly kind: "delta"; }): void {
        if (delta.version > (this.held?.version ?? 0)) {
            this.take(address, delta);
        }
        if (address === this.askedAddress) {
            this.askAnother();
        }
    }

    private take(address: string, delta: Parameters<typeof configurationDeltas.patch>[1]): void {
        const next = configurationDeltas.patch(this.held, delta);
        this.needsWhole = !next;
        if (!next) {
            const { fromVersion, version } = delta;
            this.options.log.warn("configuration-rejected", { control: address, fromVersion, version });
            return;
        }
        const previousVersion = this.held?.version ?? 0;
        this.held = next;
        this.options.log.info("configuration-in-force", {
            version: next.version,
            previousVersion,
            control: address,
            changedRoutes: delta.changedRoutes.length,
            removedRoutes: delta.removedRoutes.length,
        });
        this.options.onConfiguration(next);
    }

    /** Ends the present question and asks the replica that announced the newest version, another one if possible. */
    private askAnother(): void {
        const previous = this.askedAddress;
        this.askedAddress = undefined;
        clearTimeout(this.fetchTimer);
        const newest = [...this.controls]
            .filter(([, { announcedVersion }]) => announcedVersion > (this.held?.version ?? 0))
            .sort(([left, { announcedVersion: leftVersion }], [right, { announcedVersion: rightVersion }]) =>
                rightVersion - leftVersion || Number(left === previous) - Number(right === previous)
            );
        if (newest.length > 0) {
            this.fetchFrom(newest[0][0]);
        }
    }
}
