import { Agent, request as sendHttp } from "node:http";

/** Clients on the machine of a node. They send requests at a steady rate, whether or not earlier ones were answered. */
export class Callers {
    constructor(deployment) {
        this.deployment = deployment;
        this.agent = new Agent({ keepAlive: true, maxSockets: 400 });
        this.timers = [];
        this.count = 0;
        /** All requests, in the order in which they were sent. */
        this.sent = [];
    }

    /** Sends `perSecond` requests a second from the machine of the node, until `stop`. */
    run(node, { perSecond, ...options }) {
        this.timers.push(setInterval(() => void this.send(node, options), 1_000 / perSecond));
    }

    stop() {
        this.timers.forEach((timer) => clearInterval(timer));
        this.agent.destroy();
    }

    /** Sends one request and resolves to its outcome. */
    send(node, { method = "GET", host, path, deadlineMs = 3_000, body = "" }) {
        const { deployment } = this;
        this.count += 1;
        const id = `r${String(this.count).padStart(6, "0")}`;
        const entry = { id, node: node.name, path, sentMs: deployment.nowMs(), status: undefined, endedMs: undefined };
        this.sent.push(entry);
        return new Promise((done) => {
            const end = (status, text) => {
                clearTimeout(timer);
                entry.status ??= status;
                entry.endedMs ??= deployment.nowMs();
                entry.text ??= text;
                done(entry);
            };
            const outgoing = sendHttp(
                {
                    host: node.ip,
                    port: deployment.ports.outbound,
                    method,
                    path,
                    agent: this.agent,
                    headers: {
                        Host: host,
                        "Request-Id": id,
                        "Deadline-Ms": String(deadlineMs),
                        ...(body && { "Content-Length": Buffer.byteLength(body) }),
                    },
                },
                (response) => {
                    const chunks = [];
                    response.on("data", (chunk) => chunks.push(chunk));
                    response.on("end", () => end(response.statusCode, Buffer.concat(chunks).toString()));
                    response.on("error", () => end("cut"));
                },
            );
            const timer = setTimeout(() => {
                end("deadline");
                outgoing.destroy();
            }, deadlineMs);
            outgoing.on("error", () => end("no answer"));
            outgoing.end(body);
        });
    }
}
