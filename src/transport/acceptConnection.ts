import { randomBytes } from "node:crypto";
import { Socket } from "node:net";
import { clampHeartbeatInterval } from "./clampHeartbeatInterval";
import { FramedConnection } from "./FramedConnection";
import { HandshakeMessage } from "./HandshakeMessage";
import { handshakeProof } from "./handshakeProof";
import { proofsEqual } from "./proofsEqual";
import { TransportLimits } from "./TransportLimits";

const NONCE_BYTES = 16;

/**
 * Runs the server side of the handshake and starts heartbeats at the interval that the peer requested.
 * @returns the connection with its peer's identity, or undefined if the peer failed to authenticate in time
 */
export const acceptConnection = (
    socket: Socket,
    identity: string,
    secret: string,
): Promise<FramedConnection | undefined> =>
    new Promise((resolve) => {
        const connection = new FramedConnection(socket, TransportLimits.MaximumHandshakeFrameBytes);
        const nonce = randomBytes(NONCE_BYTES).toString("hex");
        const timer = setTimeout(() => connection.close(), TransportLimits.HandshakeTimeoutMs);
        const finish = (result: FramedConnection | undefined, heartbeatMs?: number): void => {
            clearTimeout(timer);
            connection.pause();
            result?.allowLargeFrames();
            result?.startHeartbeats(clampHeartbeatInterval(heartbeatMs));
            resolve(result);
        };
        const onResponse = (raw: unknown): void => {
            const message = raw as HandshakeMessage;
            if (message.kind !== "response") {
                connection.close();
                return;
            }
            const nonces = [nonce, String(message.nonce)];
            const expected = handshakeProof(secret, "client", nonces, String(message.identity));
            if (!proofsEqual(expected, String(message.proof))) {
                connection.close();
                return;
            }
            connection.peerIdentity = message.identity;
            connection.send({ kind: "accepted", proof: handshakeProof(secret, "server", nonces, identity) });
            finish(connection, message.heartbeatMs);
        };
        connection.listen({ onMessage: onResponse, onClose: () => finish(undefined) });
        connection.send({ kind: "challenge", nonce, identity } satisfies HandshakeMessage);
    });
