import { Agent, request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** Clients on the machine of a node, which send requests at a steady rate over kept connections. */
export class StandInClients {
    answers = [];
    #isStopped = false;
    #last = 0;

    constructor({ host, port, hostname, path, method = "GET", perSecond, deadlineMs = 2_000, name }) {
        Object.assign(this, { host, port, hostname, path, method, perSecond, deadlineMs, name });
        this.agent = new Agent({ keepAlive: true });
    }

    async run() {
        while (!this.#isStopped) {
            this.#last += 1;
            void this.send(`${this.name}-${this.#last}`).then((answer) =>
                this.answers.push({ ...answer, endedMs: performance.now() })
            );
            await pause(1_000 / this.perSecond);
        }
    }

    /** Sends nothing more. */
    pause() {
        this.#isStopped = true;
    }

    stop() {
        this.pause();
        this.agent.destroy();
    }

    send(id) {
        const { agent, deadlineMs, host, hostname, method, path, port } = this;
        const sentMs = performance.now();
        return new Promise((settle) => {
            const outgoing = request(
                {
                    agent,
                    host,
                    port,
                    method,
                    path,
                    headers: { Host: hostname, "Request-Id": id, "Deadline-Ms": String(deadlineMs) },
                    timeout: deadlineMs,
                },
                (response) => {
                    let text = "";
                    response.on("data", (chunk) => (text += chunk));
                    response.on("error", () => settle({ id, sentMs, status: 0, text: "cut" }));
                    response.on("end", () => settle({ id, sentMs, status: response.statusCode, text }));
                },
            );
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", (error) => settle({ id, sentMs, status: 0, text: error.message }));
            outgoing.end();
        });
    }
}
