import { Socket } from "node:net";

/** How long a closed connection still reads and discards what the caller sends. */
const LINGER_MS = 1_000;

/**
 * Makes the end of a connection graceful: after the last response only the own side is closed, and what the caller
 * still sends is discarded for a while. Destroying a socket with unread data resets the connection, and a reset discards
 * the part of the last response that has not yet reached the caller.
 */
export const lingerOnClose = (socket: Socket): void => {
    // Node's HTTP server calls this method after a response with "Connection: close".
    socket.destroySoon = () => {
        socket.end();
        socket.resume();
        const timer = setTimeout(() => socket.destroy(), LINGER_MS);
        socket.once("close", () => clearTimeout(timer));
    };
};
