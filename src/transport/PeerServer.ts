import { createServer, Server, Socket } from "node:net";
import { Disposable } from "../core/Disposable";
import { acceptConnection } from "./acceptConnection";
import { FramedConnection } from "./FramedConnection";
import { SocketAddress } from "./SocketAddress";

/** Accepts authenticated framed connections. */
export class PeerServer implements Disposable {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    public constructor(
        private readonly identity: string,
        private readonly secret: string,
        private readonly onConnection: (connection: FramedConnection) => void,
    ) {
        this.server = createServer((socket) => void this.accept(socket));
    }

    /** Starts to listen. Port 0 takes a free port. Returns the address in use. */
    public listen(address: SocketAddress): Promise<SocketAddress> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(address.port, address.host, () => {
                const bound = this.server.address();
                const port = typeof bound === "object" && bound ? bound.port : address.port;
                resolve({ host: address.host, port });
            });
        });
    }

    public dispose(): Promise<void> {
        this.sockets.forEach((socket) => socket.destroy());
        return new Promise((resolve) => this.server.close(() => resolve()));
    }

    private async accept(socket: Socket): Promise<void> {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        const connection = await acceptConnection(socket, this.identity, this.secret);
        if (connection) {
            this.onConnection(connection);
        }
    }
}
