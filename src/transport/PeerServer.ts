import { createServer, Server, Socket } from "node:net";
import { Disposable } from "../core/Disposable";
import { acceptConnection } from "./acceptConnection";
import { FramedConnection } from "./FramedConnection";
import { SocketAddress } from "./SocketAddress";

/** Listens for framed connections and hands over those whose peer has authenticated. */
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

    /** Starts to listen and returns the bound address. Port 0 selects a free port. */
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
