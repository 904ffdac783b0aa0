import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** Callers wait a second for a response. */
const RESPONSE_MS = 1_000;

const MAXIMUM_REDIRECTS = 2;

/** An operator: it follows redirects, and moves on to another replica after a failure or without a response. */
export class StandInOperator {
    #next = 0;

    constructor(hosts, port, record) {
        Object.assign(this, { hosts, port, record });
    }

    /**
     * Sends an order until it gets a clear response, for `limitMs` at most.
     * @param isAnswerLost true if the response to an attempt, counted from 1, is lost on its way
     */
    async order(label, method, path, body, { headers = {}, limitMs = 20_000, isAnswerLost = () => false } = {}) {
        const startMs = performance.now();
        let attempt = 0;
        let backoffMs = 50;
        while (performance.now() - startMs < limitMs) {
            attempt += 1;
            const answer = await this.#attempt(method, path, body, headers, isAnswerLost(attempt));
            this.record(`operator ${label} attempt ${attempt}: ${answer.status} ${answer.text.slice(0, 160)}`);
            if (answer.status >= 200 && answer.status < 500 && ![307, 408, 429].includes(answer.status)) {
                return answer;
            }
            this.#next += 1;
            await pause(backoffMs);
            backoffMs = Math.min(800, backoffMs * 2);
        }
        return { status: 0, text: "" };
    }

    async #attempt(method, path, body, headers, isAnswerLost) {
        let host = this.hosts[this.#next % this.hosts.length];
        for (let redirects = 0; redirects <= MAXIMUM_REDIRECTS; redirects += 1) {
            const startMs = performance.now();
            const answer = await this.#send(host, method, path, body, headers);
            if (answer.status !== 307) {
                if (!isAnswerLost) {
                    return answer;
                }
                await pause(Math.max(0, RESPONSE_MS - (performance.now() - startMs)));
                return { status: 0, text: `no response; lost on its way: ${answer.status}` };
            }
            host = new URL(answer.location).hostname;
        }
        return { status: 0, text: "too many redirects" };
    }

    #send(host, method, path, body, headers) {
        return new Promise((settle) => {
            const outgoing = request(
                {
                    host,
                    port: this.port,
                    method,
                    path,
                    headers: { "Content-Type": "application/json", ...headers },
                    timeout: RESPONSE_MS,
                    agent: false,
                },
                (response) => {
                    let text = "";
                    response.on("data", (chunk) => (text += chunk));
                    response.on("error", () => settle({ status: 0, text: "cut" }));
                    response.on(
                        "end",
                        () => settle({ status: response.statusCode, text, location: response.headers.location }),
                    );
                },
            );
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", (error) => settle({ status: 0, text: error.message }));
            outgoing.end(body);
        });
    }
}
