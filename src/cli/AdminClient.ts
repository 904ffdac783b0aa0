import { request } from "undici";
import { pause } from "../core/pause";

const REQUEST_TIMEOUT_MS = 8_000;
const ROUNDS = 20;
const ROUND_PAUSE_MS = 250;

/** Where the control replicas are and who asks. */
type AdminClientOptions = {
    /** IP:PORT of the administration APIs. */
    readonly addresses: readonly string[];
    readonly token: string;
};

/** A call of the administration API. */
type AdminCall = {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
    readonly idempotencyKey?: string;
};

/** An answer, or status 0 if no replica answered. */
type AdminAnswer = {
    readonly status: number;
    readonly body: unknown;
};

const NOT_LEADER = 421;
const UNAVAILABLE = 503;

/**
 * Asks the control replicas until the leader answers. A call that changes something is resent only with its
 * idempotency key, so that it takes effect once.
 */
export class AdminClient {
    private preferred = 0;

    public constructor(private readonly options: AdminClientOptions) {}

    public async call(call: AdminCall): Promise<AdminAnswer> {
        let last: AdminAnswer = {
            status: 0,
            body: { error: "unreachable", message: "no control replica answered. Check --controls" },
        };
        for (let round = 0; round < ROUNDS; round += 1) {
            for (let offset = 0; offset < this.options.addresses.length; offset += 1) {
                const index = (this.preferred + offset) % this.options.addresses.length;
                const answer = await this.ask(this.options.addresses[index], call);
                if (answer && answer.status !== NOT_LEADER && answer.status !== UNAVAILABLE) {
                    this.preferred = index;
                    return answer;
                }
                last = answer ?? last;
            }
            await pause(ROUND_PAUSE_MS);
        }
        return last;
    }

    private async ask(address: string, call: AdminCall): Promise<AdminAnswer | undefined> {
        const headers: Record<string, string> = { authorization: `Bearer ${this.options.token}` };
        if (call.idempotencyKey) {
            headers["idempotency-key"] = call.idempotencyKey;
        }
        try {
            const answer = await request(`http://${address}${call.path}`, {
                method: call.method,
                headers,
                body: call.body === undefined ? undefined : JSON.stringify(call.body),
                headersTimeout: REQUEST_TIMEOUT_MS,
                bodyTimeout: REQUEST_TIMEOUT_MS,
            });
            return { status: answer.statusCode, body: await answer.body.json() };
        }
        catch {
            return undefined;
        }
    }
}
