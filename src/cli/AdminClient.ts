import { request } from "undici";
import { pause } from "../core/pause";

const REQUEST_TIMEOUT_MS = 8_000;
const MAXIMUM_ROUNDS = 20;
const ROUND_PAUSE_MS = 250;

/** The control replicas to call and the operator's token. */
type AdminClientOptions = {
    /** Addresses of the administration APIs, as IP:PORT. */
    readonly addresses: readonly string[];
    readonly token: string;
};

/** A call to the administration API. */
type AdminCall = {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
    readonly idempotencyKey?: string;
};

/** The response to a call. Status 0 means that no replica answered. */
type AdminResponse = {
    readonly status: number;
    readonly body: unknown;
};

const NOT_LEADER = 421;
const UNAVAILABLE = 503;

/**
 * Calls the control replicas in turn until the leader answers. All attempts of a call carry the same idempotency key,
 * if it has one, so that the change takes effect once.
 */
export class AdminClient {
    private preferredIndex = 0;

    public constructor(private readonly options: AdminClientOptions) {}

    public async call(call: AdminCall): Promise<AdminResponse> {
        let lastResponse: AdminResponse = {
            status: 0,
            body: { error: "unreachable", message: "no control replica answered. Check --controls" },
        };
        for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
            for (let offset = 0; offset < this.options.addresses.length; offset += 1) {
                const index = (this.preferredIndex + offset) % this.options.addresses.length;
                const response = await this.send(this.options.addresses[index], call);
                if (response && response.status !== NOT_LEADER && response.status !== UNAVAILABLE) {
                    this.preferredIndex = index;
                    return response;
                }
                lastResponse = response ?? lastResponse;
            }
            await pause(ROUND_PAUSE_MS);
        }
        return lastResponse;
    }

    private async send(address: string, call: AdminCall): Promise<AdminResponse | undefined> {
        const headers: Record<string, string> = { authorization: `Bearer ${this.options.token}` };
        if (call.idempotencyKey) {
            headers["idempotency-key"] = call.idempotencyKey;
        }
        try {
            const response = await request(`http://${address}${call.path}`, {
                method: call.method,
                headers,
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                headersTimeout: REQUEST_TIMEOUT_MS,
                bodyTimeout: REQUEST_TIMEOUT_MS,
            });
            return { status: response.statusCode, body: await response.body.json() };
        }
        catch {
            return undefined;
        }
    }
}
