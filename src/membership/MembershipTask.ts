import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { SocketAddress } from "../transport/SocketAddress";
import { chooseNeighbours } from "./chooseNeighbours";
import { compareVersions } from "./compareVersions";
import { decodeMemberRecords } from "./decodeMemberRecords";
import { GossipedState } from "./GossipedState";
import { MemberRecord } from "./MemberRecord";
import { MembershipMessage } from "./MembershipMessage";
import { membershipOperations } from "./membershipOperations";
import { MembershipState } from "./MembershipState";
import { membershipTimings } from "./membershipTimings";
import { MemberStatus } from "./MemberStatus";
import { NeighbourExchange } from "./NeighbourExchange";

/**
 * Consecutive heartbeats with a different digest after which the records are compared. A single one may only mean that
 * updates are still on their way.
 */
const MISMATCHES_BEFORE_COMPARISON = 2;

/** Dependencies and callbacks of `MembershipTask`. */
type MembershipOptions = {
    /** The record that this process starts with. */
    readonly own: MemberRecord;
    readonly network: PeerNetwork;
    /** Addresses to which a link is opened as long as no member with that address is known. */
    readonly seeds: readonly SocketAddress[];
    readonly clock: Clock;
    readonly log: EventLog;
    /** Returns the source revision that the configuration of this process has reached. */
    readonly reachedRevision: () => number;
    /** Called after every change of the members. */
    readonly onChange: (state: MembershipState) => void;
    /**
     * Called with the highest source revision that this process reported to a neighbour before, for example before a
     * restart of this process. 0 if the neighbour remembers none.
     */
    readonly onRememberedRevision: (floor: number) => void;
    readonly gossiped?: GossipedState;
    readonly exchange?: NeighbourExchange;
};

/** A member connected by a link that either side opened. */
type Neighbour = {
    readonly id: string;
    readonly send: (message: MembershipMessage) => void;
    /** Consecutive heartbeats whose digest differed from that of this process. */
    readonly digestMismatches: number;
};

/** A new state and the records that were updated in it. */
type StateChange = {
    readonly state: MembershipState;
    readonly updates: readonly MemberRecord[];
};

/** A link that this process opened. */
type OutgoingLink = {
    readonly link: ReturnType<PeerNetwork["open"]>;
    /** Monotonic time in milliseconds since which the link is closed; undefined while it is open. */
    readonly closedSinceMs: number | undefined;
};

/**
 * Maintains the list of members by gossip over a few links: exchanges records with the neighbours, suspects members of
 * the same availability zone whose link stays closed, and links the zones through gateways.
 */
export class MembershipTask implements Disposable {
    private readonly resources = new DisposableStore();
    /** Links that this process opened, by the address of the peer. */
    private readonly links = new Map<string, OutgoingLink>();
    /** Neighbours by link (if this process opened it) or by remote peer (if the peer opened it). */
    private readonly neighbours = new Map<object, Neighbour>();
    /** The highest source revision that each member reported, by member id. */
    private readonly reachedRevisions = new Map<string, number>();
    private state: MembershipState;
    /** The `changeCount` of the state for which the links were last chosen. */
    private linkedChangeCount = 0;
    private linkUpdateTimer: NodeJS.Timeout | undefined;
    private seeds: readonly SocketAddress[];

    public constructor(private readonly options: MembershipOptions) {
        this.seeds = options.seeds;
        this.state = membershipOperations.create(options.own, options.clock.monotonicMs());
        options.network.handle(Channel.Membership, {
            onMessage: (remote, body) => {
                const send = (message: MembershipMessage): void => void remote.send(message);
                this.receive(remote, send, remote.identity, body as MembershipMessage);
            },
            onClose: (remote) => this.neighbours.delete(remote),
        });
        this.resources.every(membershipTimings.heartbeatIntervalMs, () => this.onHeartbeatInterval());
        this.resources.add({ dispose: () => this.links.forEach(({ link }) => link.dispose()) });
        this.resources.add({ dispose: () => clearTimeout(this.linkUpdateTimer) });
        this.updateLinks();
    }

    /** The current members. */
    public get current(): MembershipState {
        return this.state;
    }

    /** Changes the record of this process, for example its endpoints, and sends it to the neighbours at once. */
    public changeOwn(change: Partial<MemberRecord>): void {
        this.applyChange(membershipOperations.changeOwn(this.state, change, this.nowMs()));
    }

    /** Replaces the seed addresses, to which links are opened as long as no member with that address is known. */
    public setSeeds(seeds: readonly SocketAddress[]): void {
        this.seeds = seeds;
        this.linkedChangeCount = 0;
        this.updateLinks();
    }

    /** Announces that this member leaves. */
    public leave(): void {
        this.changeOwn({ status: MemberStatus.Left, endpoints: [] });
    }

    /** Sends a change of the gossiped state to the neighbours, from which it reaches all members. */
    public spread(body: unknown, source?: object): void {
        for (const [key, { send }] of this.neighbours) {
            if (key !== source) {
                send({ kind: "gossip", body });
            }
        }
    }

    /** Sends a message of the `NeighbourExchange` to all neighbours. Returns their identities. */
    public sendToNeighbours(body: unknown): ReadonlySet<string> {
        const neighbours = [...this.neighbours.values()];
        neighbours.forEach(({ send }) => send({ kind: "exchange", body }));
        return new Set(neighbours.map(({ id }) => id));
    }

    /** Sends every neighbour a heartbeat with the source revision that this process has reached. */
    public sendHeartbeats(): void {
        const message: MembershipMessage = {
            kind: "heartbeat",
            digest: this.state.digest,
            floor: this.options.reachedRevision(),
        };
        this.neighbours.forEach(({ send }) => send(message));
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /**
     * Stores a new state and sends the updated records to the neighbours, except to `source`, the link that they came
     * from.
     */
    private applyChange({ updates, state }: StateChange, source?: object): void {
        this.state = state;
        if (updates.length === 0) {
            return;
        }
        for (const { id, status, zone } of updates) {
            this.options.log.info("member-changed", { member: id, zone, status: MemberStatus[status].toLowerCase() });
        }
        for (const [key, { send }] of this.neighbours) {
            if (key !== source) {
                send({ kind: "records", records: updates });
            }
        }
        this.options.onChange(state);
        this.scheduleLinkUpdate();
    }

    private receive(
        key: object,
        send: (message: MembershipMessage) => void,
        id: string,
        message: MembershipMessage,
    ): void {
        switch (message.kind) {
            case "hello":
                this.onHello(key, send, id, message);
                return;
            case "heartbeat":
                this.onHeartbeat(key, id, message);
                return;
            case "floor":
                this.options.onRememberedRevision(message.floor);
                return;
            case "records":
                this.mergeRecords(id, message.records, key);
                return;
            case "versions":
                this.onVersions(send, message);
                return;
            case "gossip": {
                const news = this.options.gossiped?.receive(message.body);
                if (news !== undefined) {
                    this.spread(news, key);
                }
                return;
            }
            case "exchange":
                this.options.exchange?.receive(id, message.body, (body) => send({ kind: "exchange", body }));
                return;
        }
    }

    /** Stores what a neighbour sent of members, and passes on what is new. */
    private mergeRecords(neighbour: string, raw: unknown, source?: object): void {
        const { records, refused } = decodeMemberRecords(raw, this.options.clock.wallMs());
        if (refused > 0) {
            this.options.log.infoRateLimited("member-records-refused", { neighbour, refused });
        }
        this.applyChange(membershipOperations.merge(this.state, records, this.nowMs()), source);
    }

    private sendSnapshot(send: (message: MembershipMessage) => void): void {
        const body = this.options.gossiped?.snapshot();
        if (body !== undefined) {
            send({ kind: "gossip", body });
        }
    }

    private onHello(
        key: object,
        send: (message: MembershipMessage) => void,
        id: string,
        { digest, record }: MembershipMessage & { readonly kind: "hello"; },
    ): void {
        const alreadyLinked = this.neighbours.has(key);
        this.neighbours.set(key, { id, send, digestMismatches: 0 });
        send({ kind: "floor", floor: this.reachedRevisions.get(id) ?? 0 });
        const { exchange } = this.options;
        if (exchange) {
            send({ kind: "exchange", body: exchange.greet(id) });
        }
        this.mergeRecords(id, record);
        if (!alreadyLinked) {
            send(this.hello());
            this.sendSnapshot(send);
        }
        if (digest !== this.state.digest) {
            send(this.versions());
        }
    }

    private onHeartbeat(
        key: object,
        id: string,
        { digest, floor }: MembershipMessage & { readonly kind: "heartbeat"; },
    ): void {
        this.reachedRevisions.set(id, Math.max(this.reachedRevisions.get(id) ?? 0, floor));
        const neighbour = this.neighbours.get(key);
        if (!neighbour) {
            return;
        }
        const digestMismatches = digest === this.state.digest ? 0 : neighbour.digestMismatches + 1;
        const mustCompare = digestMismatches >= MISMATCHES_BEFORE_COMPARISON;
        this.neighbours.set(key, { ...neighbour, digestMismatches: mustCompare ? 0 : digestMismatches });
        if (mustCompare) {
            neighbour.send(this.versions());
        }
    }

    private onVersions(
        send: (message: MembershipMessage) => void,
        { versions }: MembershipMessage & { readonly kind: "versions"; },
    ): void {
        const { peerHasNewer, toSend } = compareVersions(this.state, versions);
        if (toSend.length > 0) {
            send({ kind: "records", records: toSend });
        }
        if (peerHasNewer) {
            send(this.versions());
        }
    }

    private hello(): MembershipMessage {
        return {
            kind: "hello",
            record: membershipOperations.ownRecord(this.state),
            digest: this.state.digest,
        };
    }

    private versions(): MembershipMessage {
        const versions = [...this.state.members.values()].map(({ record }) => ({
            id: record.id,
            incarnation: record.incarnation,
            sequence: record.sequence,
            status: record.status,
        }));
        return { kind: "versions", versions };
    }

    private onHeartbeatInterval(): void {
        const nowMs = this.nowMs();
        this.sendHeartbeats();
        this.applyChange(membershipOperations.expire(this.state, nowMs));
        this.suspectUnreachable(nowMs);
        this.updateLinks();
    }

    /** Suspects members of the same zone to which a link of this process has been closed for too long. */
    private suspectUnreachable(nowMs: number): void {
        const zone = membershipOperations.ownRecord(this.state).zone;
        for (const [address, { closedSinceMs }] of this.links) {
            if (closedSinceMs === undefined || nowMs - closedSinceMs < membershipTimings.suspectAfterMs) {
                continue;
            }
            const member = membershipOperations.presentMembers(this.state).find(({ peerAddress }) =>
                peerAddress === address
            );
            if (member?.zone === zone) {
                this.applyChange(membershipOperations.suspect(this.state, member.id, nowMs));
            }
        }
    }

    /** Updates arrive in many small messages while a mesh starts, so the neighbours are chosen once for all of them. */
    private scheduleLinkUpdate(): void {
        this.linkUpdateTimer ??= setTimeout(() => {
            this.linkUpdateTimer = undefined;
            this.updateLinks();
        }, membershipTimings.neighbourDelayMs);
    }

    /** Opens and closes links so that they lead to the chosen neighbours and to seeds that are not known members. */
    private updateLinks(): void {
        if (this.linkedChangeCount === this.state.changeCount) {
            return;
        }
        this.linkedChangeCount = this.state.changeCount;
        const wantedAddresses = new Set(chooseNeighbours(this.state).map(({ peerAddress }) => peerAddress));
        const knownAddresses = new Set([...this.state.members.values()].map(({ record }) => record.peerAddress));
        for (const { host, port } of this.seeds) {
            if (!knownAddresses.has(`${host}:${port}`)) {
                wantedAddresses.add(`${host}:${port}`);
            }
        }
        for (const [address, { link }] of this.links) {
            if (!wantedAddresses.has(address)) {
                this.links.delete(address);
                this.neighbours.delete(link);
                link.dispose();
            }
        }
        wantedAddresses.forEach((address) => this.openLink(address));
    }

    private openLink(address: string): void {
        const socketAddress = parseAddress(address);
        if (!socketAddress || this.links.has(address)) {
            return;
        }
        let peerId = "";
        const send = (message: MembershipMessage): void => void link.send(message);
        const link = this.options.network.open(Channel.Membership, socketAddress, {
            onOpen: (identity) => {
                peerId = identity;
                this.neighbours.set(link, { id: peerId, send, digestMismatches: 0 });
                this.setClosedSince(address, undefined);
                send(this.hello());
                this.sendSnapshot(send);
            },
            onMessage: (body) => this.receive(link, send, peerId, body as MembershipMessage),
            onClose: () => {
                this.neighbours.delete(link);
                this.setClosedSince(address, this.nowMs());
            },
        });
        this.links.set(address, { link, closedSinceMs: this.nowMs() });
    }

    private setClosedSince(address: string, closedSinceMs: number | undefined): void {
        const outgoing = this.links.get(address);
        if (outgoing) {
            this.links.set(address, { ...outgoing, closedSinceMs });
        }
    }
}
