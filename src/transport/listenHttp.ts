import { Server } from "node:http";
import { SocketAddress } from "./SocketAddress";

/** Starts an HTTP server and returns the bound address. Port 0 selects a free port. */
export const listenHttp = (server: Server, address: SocketAddress): Promise<SocketAddress> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => {
            const bound = server.address();
            const port = typeof bound === "object" && bound ? bound.port : address.port;
            resolve({ host: address.host, port });
        });
    });
