import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { FramedConnection } from "./FramedConnection";
import { HandshakeMessage } from "./HandshakeMessage";
import { handshakeProof } from "./handshakeProof";
import { heartbeatPace } from "./heartbeatPace";
import { proofsEqual } from "./proofsEqual";
import { SocketAddress } from "./SocketAddress";
import { TransportLimits } from "./TransportLimits";

const NONCE_BYTES = 16;

/** Who opens a connection, and from which local address. */
type Opener = {
    readonly identity: string;
    readonly secret: string;
    readonly localHost?: string;
    /** How often the idle connection shows that it is alive; `TransportLimits.HeartbeatIntervalMs` if not given. */
    readonly heartbeatMs?: number;
};

/**
 * Opens a connection and runs the client's side of the handshake.
 * @returns the connection, or undefined if it could not be opened or the peer failed
 */
export const openConnection = (address: SocketAddress, opener: Opener): Promise<FramedConnection | undefined> =>
    new Promise((resolve) => {
        const socket = connect({ host: address.host, port: address.port, localAddress: opener.localHost });
        const connection = new FramedConnection(socket);
        const timer = setTimeout(() => connection.close(), TransportLimits.ConnectTimeoutMs);
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        const heartbeatMs = heartbeatPace(opener.heartbeatMs);
        let nonces: readonly string[] = [];
        const finish = (result: FramedConnection | undefined): void => {
            clearTimeout(timer);
            connection.pause();
            result?.keepAlive(heartbeatMs);
            resolve(result);
        };
        const answerChallenge = (message: HandshakeMessage & { readonly kind: "challenge"; }): void => {
            nonces = [String(message.nonce), nonce];
            connection.peerIdentity = String(message.identity);
            const proof = handshakeProof(opener.secret, "client", nonces, opener.identity);
            const { identity } = opener;
            connection.send({ kind: "response", nonce, identity, proof, heartbeatMs } satisfies HandshakeMessage);
        };
        const checkServer = (proof: string): void => {
            if (!proofsEqual(handshakeProof(opener.secret, "server", nonces, connection.peerIdentity), proof)) {
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
                checkServer(String(message.proof));
            }
        };
        connection.listen({ onMessage, onClose: () => finish(undefined) });
    });
