import { createServer, Server } from "node:http";
import { Registry } from "prom-client";
import { Disposable } from "../core/Disposable";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";

/** Serves the metrics of this process over HTTP at /metrics, in the text format of Prometheus. */
export class MetricsServer implements Disposable {
    private readonly server: Server;

    public constructor(registry: Registry) {
        this.server = createServer((request, response) => {
            if (request.url !== "/metrics") {
                response.writeHead(404).end();
                return;
            }
            registry.metrics().then(
                (text) => response.writeHead(200, { "Content-Type": registry.contentType }).end(text),
                (error: Error) => response.writeHead(500).end(error.message),
            );
        });
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
