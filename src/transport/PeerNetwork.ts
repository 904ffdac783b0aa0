import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { HybridClock } from "../core/HybridClock";
import { RandomSource } from "../core/RandomSource";
import { Channel } from "./Channel";
import { Envelope } from "./Envelope";
import { FramedConnection } from "./FramedConnection";
import { PeerLink } from "./PeerLink";
import { PeerServer } from "./PeerServer";
import { SocketAddress } from "./SocketAddress";

/** The peer that opened a connection to this process, as the handler of a channel sees it. */
type RemotePeer = {
    readonly identity: string;
    readonly send: (body: unknown) => number;
    readonly close: () => void;
};

/** Handles the messages of a channel on connections that peers opened. */
type ChannelHandler = {
    /**
     * If it throws, or returns a promise that rejects, the message can't be handled: its connection is closed, and the
     * process goes on.
     */
    readonly onMessage: (remote: RemotePeer, body: unknown) => unknown;
    readonly onClose: (remote: RemotePeer) => void;
};

/** The callbacks of a task for a link that it opened. */
type LinkHandler = {
    /**
     * Interval between heartbeats, `TransportLimits.HeartbeatIntervalMs` by default. A longer one suits a link whose
     * owner checks itself that the peer responds while the link is in use.
     */
    readonly heartbeatMs?: number;
    readonly onOpen?: (peerIdentity: string) => void;
    /** As in `ChannelHandler`. */
    readonly onMessage: (body: unknown) => unknown;
    readonly onClose?: () => void;
    readonly onFailure?: () => void;
};

/** A message that was sent to a peer. */
type SentMessage = {
    readonly channel: Channel;
    /** IP address of the peer's host. */
    readonly host: string;
    readonly body: unknown;
    /** Size of the frame that carries it. */
    readonly bytes: number;
};

/** The identity of this process towards its peers, and the local address of its connections. */
type NetworkOptions = {
    readonly identity: string;
    readonly secret: string;
    readonly localHost: string;
    readonly hybridClock: HybridClock;
    readonly random: RandomSource;
    /** Called for a message that could not be handled. */
    readonly onUnhandled?: (peer: string, channel: string, error: Error) => void;
};

const isEnvelope = (raw: unknown): raw is Envelope => {
    const { at, channel } = (raw ?? {}) as Partial<Envelope>;
    return typeof channel === "string" && typeof at === "object" && Number.isSafeInteger(at?.wallMs)
        && Number.isSafeInteger(at?.counter);
};

/** Accepts and opens all connections of a process with its peers, and dispatches messages to tasks by channel. */
export class PeerNetwork implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly handlers = new Map<Channel, ChannelHandler>();
    private readonly server: PeerServer;
    private sentBytes = 0;
    private receivedBytes = 0;
    private readonly sentByChannel = new Map<Channel, number>();
    private onSent: ((message: SentMessage) => void) | undefined;

    public constructor(private readonly options: NetworkOptions) {
        this.server = new PeerServer(options.identity, options.secret, (connection) => this.accept(connection));
        this.resources.add(this.server);
    }

    /** Bytes of the messages sent, in total and by channel, and all bytes received after the handshake. */
    public get traffic() {
        return {
            sentBytes: this.sentBytes,
            receivedBytes: this.receivedBytes,
            sentByChannel: new Map(this.sentByChannel),
        } as const;
    }

    /** Calls the function after each message that was sent. */
    public observeSent(onSent: (message: SentMessage) => void): void {
        this.onSent = onSent;
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return this.server.listen(address);
    }

    /** Registers the handler of a channel. */
    public handle(channel: Channel, handler: ChannelHandler): void {
        this.handlers.set(channel, handler);
    }

    /** Opens a link that reconnects until it is disposed of. */
    public open(channel: Channel, address: SocketAddress, handler: LinkHandler) {
        const { hybridClock, identity, localHost, random, secret } = this.options;
        const link = new PeerLink(address, {
            identity,
            secret,
            localHost,
            random,
            heartbeatMs: handler.heartbeatMs,
            onOpen: () => handler.onOpen?.(link.peerIdentity),
            onMessage: (raw) => {
                if (isEnvelope(raw)) {
                    hybridClock.observe(raw.at);
                    const close = (): void => link.closeConnection();
                    this.deliver(link.peerIdentity, channel, close, () => handler.onMessage(raw.body));
                }
            },
            onBytes: (count) => this.countReceived(count),
            onClose: handler.onClose,
            onFailure: handler.onFailure,
        });
        this.resources.add(link);
        return {
            isOpen: () => link.isOpen,
            waitUntilOpen: (limitMs: number) => link.waitUntilOpen(limitMs),
            peerIdentity: () => link.peerIdentity,
            send: (body: unknown) => this.countSent(channel, address.host, body, link.send(this.wrap(channel, body))),
            reconnectAfter: (delayMs: number) => link.reconnectAfter(delayMs),
            dispose: () => {
                this.resources.remove(link);
                link.dispose();
            },
        } as const;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private accept(connection: FramedConnection): void {
        const remotes = new Map<Channel, RemotePeer>();
        const host = connection.remoteHost;
        const remoteFor = (channel: Channel): RemotePeer => {
            const known = remotes.get(channel);
            if (known) {
                return known;
            }
            const remote: RemotePeer = {
                identity: connection.peerIdentity,
                send: (body) => this.countSent(channel, host, body, connection.send(this.wrap(channel, body))),
                close: () => connection.close(),
            };
            remotes.set(channel, remote);
            return remote;
        };
        connection.listen({
            onMessage: (raw) => {
                if (!isEnvelope(raw)) {
                    return;
                }
                this.options.hybridClock.observe(raw.at);
                const { body, channel } = raw;
                const close = (): void => connection.close();
                this.deliver(
                    connection.peerIdentity,
                    channel,
                    close,
                    () => this.handlers.get(channel)?.onMessage(remoteFor(channel), body),
                );
            },
            onBytes: (count) => this.countReceived(count),
            onClose: () => remotes.forEach((remote, channel) => this.handlers.get(channel)?.onClose(remote)),
        });
    }

    private deliver(peer: string, channel: Channel, close: () => void, handle: () => unknown): void {
        const fail = (error: unknown): void => {
            this.options.onUnhandled?.(peer, channel, error as Error);
            close();
        };
        try {
            const handled = handle();
            if (handled instanceof Promise) {
                handled.catch(fail);
            }
        }
        catch (error) {
            fail(error);
        }
    }

    private wrap(channel: Channel, body: unknown): Envelope {
        return { channel, at: this.options.hybridClock.tick(), body };
    }

    private countSent(channel: Channel, host: string, body: unknown, bytes: number): number {
        this.sentBytes += bytes;
        this.sentByChannel.set(channel, (this.sentByChannel.get(channel) ?? 0) + bytes);
        if (bytes > 0) {
            this.onSent?.({ channel, host, body, bytes });
        }
        return bytes;
    }

    private countReceived(bytes: number): void {
        this.receivedBytes += bytes;
    }
}
