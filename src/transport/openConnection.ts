import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { clampHeartbeatInterval } from "./clampHeartbeatInterval";
import { FramedConnection } from "./FramedConnection";
import { HandshakeMessage } from "./HandshakeMessage";
import { handshakeProof } from "./handshakeProof";
import { proofsEqual } from "./proofsEqual";
import { SocketAddress } from "./SocketAddress";
import { TransportLimits } from "./TransportLimits";

const NONCE_BYTES = 16;

/** The identity of the process that opens a connection, and the local IP that it connects from. */
type ConnectionOptions = {
    readonly identity: string;
    readonly secret: string;
    readonly localHost?: string;
    /** Interval between heartbeats while the connection is idle; `TransportLimits.HeartbeatIntervalMs` by default. */
    readonly heartbeatMs?: number;
};

/**
 * Opens a connection, runs the client side of the handshake and starts heartbeats.
 * @returns the connection, or undefined if it could not be opened or the peer failed to authenticate in time
 */
export const openConnection = (
    address: SocketAddress,
    options: ConnectionOptions,
): Promise<FramedConnection | undefined> =>
    new Promise((resolve) => {
        const socket = connect({ host: address.host, port: address.port, localAddress: options.localHost });
        const connection = new FramedConnection(socket, TransportLimits.MaximumFrameBytes);
        const timer = setTimeout(() => connection.close(), TransportLimits.ConnectTimeoutMs);
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        const heartbeatMs = clampHeartbeatInterval(options.heartbeatMs);
        let nonces: readonly string[] = [];
        const finish = (result: FramedConnection | undefined): void => {
            clearTimeout(timer);
            connection.pause();
            result?.startHeartbeats(heartbeatMs);
            resolve(result);
        };
        const answerChallenge = (message: HandshakeMessage & { readonly kind: "challenge"; }): void => {
            nonces = [String(message.nonce), nonce];
            connection.peerIdentity = String(message.identity);
            const proof = handshakeProof(options.secret, "client", nonces, options.identity);
            const { identity } = options;
            connection.send({ kind: "response", nonce, identity, proof, heartbeatMs } satisfies HandshakeMessage);
        };
        const verifyServerProof = (proof: string): void => {
            if (!proofsEqual(handshakeProof(options.secret, "server", nonces, connection.peerIdentity), proof)) {
                connection.close();
                return;
            }
            finish(connection);
        };
        const onMessage = (raw: unknown): void => {
            const message = raw as HandshakeMessage;
            if (message.kind === "challenge") {
                answerChallenge(message);
                return;
            }
            if (message.kind === "accepted") {
                verifyServerProof(String(message.proof));
            }
        };
        connection.listen({ onMessage, onClose: () => finish(undefined) });
    });
