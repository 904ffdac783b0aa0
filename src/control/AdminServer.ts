import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { catalogueLimits } from "../catalogue/catalogueLimits";
import { decodeUtf8 } from "../core/decodeUtf8";
import { Disposable } from "../core/Disposable";
import { parseJson } from "../core/parseJson";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { AdminRequest } from "./AdminRequest";
import { AdminResponse } from "./AdminResponse";

const header = (request: IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
};

const readBody = async (request: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let length = 0;
    for await (const chunk of request) {
        length += (chunk as Buffer).length;
        if (length > catalogueLimits.maximumEntryBytes) {
            throw new Error(`the body exceeds ${catalogueLimits.maximumEntryBytes} bytes; split the entry`);
        }
        chunks.push(chunk as Buffer);
    }
    return length === 0 ? undefined : parseJson(decodeUtf8(Buffer.concat(chunks)));
};

/** Serves the administration API over HTTP with JSON bodies. */
export class AdminServer implements Disposable {
    private readonly server: Server;

    public constructor(private readonly handle: (request: AdminRequest) => Promise<AdminResponse>) {
        this.server = createServer((request, response) => void this.respond(request, response));
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    public dispose(): Promise<void> {
        this.server.closeAllConnections();
        return new Promise((resolve) => this.server.close(() => resolve()));
    }

    private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { body, status } = await this.handleRequest(request);
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json" });
        response.end(text);
    }

    private async handleRequest(request: IncomingMessage): Promise<AdminResponse> {
        try {
            const path = (request.url ?? "").split("?")[0].split("/").filter(Boolean).map(decodeURIComponent);
            return await this.handle({
                method: request.method ?? "",
                path,
                authorization: header(request, "authorization"),
                idempotencyKey: header(request, "idempotency-key"),
                body: await readBody(request),
            });
        }
        catch (error) {
            return { status: 400, body: { error: "request-invalid", message: (error as Error).message } };
        }
    }
}
