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
import { MemberRecord } from "./MemberRecord";
import { membershipChanges } from "./membershipChanges";
import { MembershipMessage } from "./MembershipMessage";
import { MembershipState } from "./MembershipState";
import { membershipTimings } from "./membershipTimings";
import { MemberStatus } from "./MemberStatus";

/** Heartbeats with another digest are borne this often before the records are compared. */
const HEARTBEATS_BEFORE_COMPARISON = 2;

/** What the membership is built from. */
type MembershipOptions = {
    readonly own: MemberRecord;
    readonly network: PeerNetwork;
    readonly seeds: readonly SocketAddress[];
    readonly clock: Clock;
    readonly log: EventLog;
    /** The source revision that this process has reached. */
    readonly ownFloor: () => number;
    readonly onChange: (state: MembershipState) => void;
    /** A neighbour remembers that this process had reached the revision before it restarted. */
    readonly onFloor: (floor: number) => void;
};

/** A neighbour, reached by a link of ours or of theirs. */
type Neighbour = {
    readonly id: string;
    readonly send: (message: MembershipMessage) => void;
    readonly differing: number;
};

/** A new state and what is news in it. */
type Change = {
    readonly state: MembershipState;
    readonly news: readonly MemberRecord[];
};

type OwnLink = {
    readonly link: ReturnType<PeerNetwork["open"]>;
    readonly closedSinceMs: number | undefined;
};

/** Keeps the members of the mesh known: gossips over a few links, suspects silent neighbours, bridges zones. */
export class MembershipTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, OwnLink>();
    private readonly neighbours = new Map<object, Neighbour>();
    private readonly floors = new Map<string, number>();
    private state: MembershipState;
    private linkedChanges = 0;
    private following: NodeJS.Timeout | undefined;
    private seeds: readonly SocketAddress[];

    public constructor(private readonly options: MembershipOptions) {
        this.seeds = options.seeds;
        this.state = membershipChanges.create(options.own, options.clock.monotonicMs());
        options.network.handle(Channel.Membership, {
            onMessage: (remote, body) => {
                const send = (message: MembershipMessage): void => void remote.send(message);
                this.receive(remote, send, remote.identity, body as MembershipMessage);
            },
            onClose: (remote) => this.neighbours.delete(remote),
        });
        this.resources.every(membershipTimings.heartbeatIntervalMs, () => this.beat());
        this.resources.add({ dispose: () => this.links.forEach(({ link }) => link.dispose()) });
        this.resources.add({ dispose: () => clearTimeout(this.following) });
        this.followNeighbours();
    }

    public get present(): MembershipState {
        return this.state;
    }

    /** Changes the own record, for example its endpoints, and spreads it at once. */
    public changeOwn(change: Partial<MemberRecord>): void {
        this.take(membershipChanges.changeOwn(this.state, change, this.nowMs()));
    }

    /** Replaces the addresses that are tried while no member is known there. */
    public followSeeds(seeds: readonly SocketAddress[]): void {
        this.seeds = seeds;
        this.linkedChanges = 0;
        this.followNeighbours();
    }

    /** Says that this member leaves. */
    public leave(): void {
        this.changeOwn({ status: MemberStatus.Left, endpoints: [] });
    }

    /** Tells the neighbours at once which source revision this process has reached. */
    public tellFloor(): void {
        const message: MembershipMessage = {
            kind: "heartbeat",
            digest: this.state.digest,
            floor: this.options.ownFloor(),
        };
        this.neighbours.forEach(({ send }) => send(message));
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    /** Takes a new state and tells the neighbours the news, but not the one that it came from. */
    private take({ news, state }: Change, source?: object): void {
        this.state = state;
        if (news.length === 0) {
            return;
        }
        for (const { id, status, zone } of news) {
            this.options.log.info("member-changed", { member: id, zone, status: MemberStatus[status].toLowerCase() });
        }
        for (const [key, { send }] of this.neighbours) {
            if (key !== source) {
                send({ kind: "records", records: news });
            }
        }
        this.options.onChange(state);
        this.followNeighboursSoon();
    }

    private receive(
        key: object,
        send: (message: MembershipMessage) => void,
        id: string,
        message: MembershipMessage,
    ): void {
        switch (message.kind) {
            case "hello":
                this.welcome(key, send, id, message);
                return;
            case "heartbeat":
                this.onHeartbeat(key, id, message);
                return;
            case "floor":
                this.options.onFloor(message.floor);
                return;
            case "records":
                this.take(membershipChanges.merge(this.state, message.records, this.nowMs()), key);
                return;
            case "versions":
                this.onVersions(send, message);
                return;
        }
    }

    private welcome(
        key: object,
        send: (message: MembershipMessage) => void,
        id: string,
        { digest, record }: MembershipMessage & { readonly kind: "hello"; },
    ): void {
        const known = this.neighbours.has(key);
        this.neighbours.set(key, { id, send, differing: 0 });
        send({ kind: "floor", floor: this.floors.get(id) ?? 0 });
        this.take(membershipChanges.merge(this.state, [record], this.nowMs()));
        if (!known) {
            send(this.hello());
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
        this.floors.set(id, Math.max(this.floors.get(id) ?? 0, floor));
        const neighbour = this.neighbours.get(key);
        if (!neighbour) {
            return;
        }
        const differing = digest === this.state.digest ? 0 : neighbour.differing + 1;
        const compare = differing >= HEARTBEATS_BEFORE_COMPARISON;
        this.neighbours.set(key, { ...neighbour, differing: compare ? 0 : differing });
        if (compare) {
            neighbour.send(this.versions());
        }
    }

    private onVersions(
        send: (message: MembershipMessage) => void,
        { versions }: MembershipMessage & { readonly kind: "versions"; },
    ): void {
        const { lacking, toSend } = compareVersions(this.state, versions);
        if (toSend.length > 0) {
            send({ kind: "records", records: toSend });
        }
        if (lacking) {
            send(this.versions());
        }
    }

    private hello(): MembershipMessage {
        return {
            kind: "hello",
            record: membershipChanges.own(this.state),
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

    private beat(): void {
        const nowMs = this.nowMs();
        this.tellFloor();
        this.take(membershipChanges.expire(this.state, nowMs));
        this.suspectSilent(nowMs);
        this.followNeighbours();
    }

    private suspectSilent(nowMs: number): void {
        const zone = membershipChanges.own(this.state).zone;
        for (const [address, { closedSinceMs }] of this.links) {
            if (closedSinceMs === undefined || nowMs - closedSinceMs < membershipTimings.suspectAfterMs) {
                continue;
            }
            const member = membershipChanges.present(this.state).find(({ peerAddress }) => peerAddress === address);
            if (member?.zone === zone) {
                this.take(membershipChanges.suspect(this.state, member.id, nowMs));
            }
        }
    }

    /** News comes in many small messages while a mesh starts; the neighbours are chosen once for all of them. */
    private followNeighboursSoon(): void {
        this.following ??= setTimeout(() => {
            this.following = undefined;
            this.followNeighbours();
        }, membershipTimings.neighbourDelayMs);
    }

    /** Opens and closes links so that they lead to the chosen neighbours, and to the seeds while those are unknown. */
    private followNeighbours(): void {
        if (this.linkedChanges === this.state.changes) {
            return;
        }
        this.linkedChanges = this.state.changes;
        const wanted = new Set(chooseNeighbours(this.state).map(({ peerAddress }) => peerAddress));
        const known = new Set([...this.state.members.values()].map(({ record }) => record.peerAddress));
        for (const { host, port } of this.seeds) {
            if (!known.has(`${host}:${port}`)) {
                wanted.add(`${host}:${port}`);
            }
        }
        for (const [address, { link }] of this.links) {
            if (!wanted.has(address)) {
                this.links.delete(address);
                this.neighbours.delete(link);
                link.dispose();
            }
        }
        wanted.forEach((address) => this.openLink(address));
    }

    private openLink(text: string): void {
        const address = parseAddress(text);
        if (!address || this.links.has(text)) {
            return;
        }
        let peerId = "";
        const send = (message: MembershipMessage): void => void link.send(message);
        const link = this.options.network.open(Channel.Membership, address, {
            onOpen: (identity) => {
                peerId = identity;
                this.neighbours.set(link, { id: peerId, send, differing: 0 });
                this.noteLink(text, undefined);
                send(this.hello());
            },
            onMessage: (body) => this.receive(link, send, peerId, body as MembershipMessage),
            onClose: () => {
                this.neighbours.delete(link);
                this.noteLink(text, this.nowMs());
            },
        });
        this.links.set(text, { link, closedSinceMs: this.nowMs() });
    }

    private noteLink(address: string, closedSinceMs: number | undefined): void {
        const present = this.links.get(address);
        if (present) {
            this.links.set(address, { ...present, closedSinceMs });
        }
    }
}
