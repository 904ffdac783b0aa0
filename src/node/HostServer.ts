import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import * as z from "zod";
import { decodeUtf8 } from "../core/decodeUtf8";
import { Disposable } from "../core/Disposable";
import { parseJson } from "../core/parseJson";
import { listenHttp } from "../transport/listenHttp";
import { proofsEqual } from "../transport/proofsEqual";
import { readBody } from "../transport/readBody";
import { SocketAddress } from "../transport/SocketAddress";
import { announcementSchema } from "./announcementSchema";

const MAXIMUM_BODY_BYTES = 16_384;

/** The handlers behind the routes of the server, and the secret that authorizes operators. */
type HostOptions = {
    readonly secret: string;
    readonly announce: (announcement: z.infer<typeof announcementSchema>) => void;
    readonly status: () => unknown;
    readonly members: () => unknown;
    readonly drain: () => void;
};

const readText = async (request: IncomingMessage): Promise<string> => {
    const body = await readBody(request, MAXIMUM_BODY_BYTES);
    if (!body) {
        throw new Error(`the body exceeds ${MAXIMUM_BODY_BYTES} bytes`);
    }
    return decodeUtf8(body);
};

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
};

/** The HTTP API for the backend servers of this host, which announce themselves, and for operators of this node. */
export class HostServer implements Disposable {
    private readonly server: Server;

    public constructor(private readonly options: HostOptions) {
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            await this.route(request, response);
        }
        catch (error) {
            sendJson(response, 400, { error: "request-invalid", message: (error as Error).message });
        }
    }

    private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { announce, drain, members, status } = this.options;
        switch (`${request.method} ${request.url}`) {
            case "POST /v1/backends":
                announce(announcementSchema.parse(parseJson(await readText(request))));
                sendJson(response, 200, { accepted: true });
                return;
            case "GET /v1/status":
                sendJson(response, 200, status());
                return;
            case "GET /v1/members":
                sendJson(response, 200, members());
                return;
            case "POST /v1/drain":
                if (!this.isAuthorized(request)) {
                    sendJson(response, 403, {
                        error: "operator-rejected",
                        message: "give the mesh secret with --secret",
                    });
                    return;
                }
                sendJson(response, 202, { draining: true });
                drain();
                return;
            default:
                sendJson(response, 404, { error: "request-invalid", message: "see docs/OPERATIONS.md for the calls" });
        }
    }

    private isAuthorized({ headers }: IncomingMessage): boolean {
        return proofsEqual(headers.authorization ?? "", `Bearer ${this.options.secret}`);
    }
}
