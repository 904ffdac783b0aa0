import { createServer } from "node:http";
import { pause } from "./pause.mjs";

/** Requests that wait for a slot; further ones are rejected. */
const QUEUE_LENGTH = 24;

/**
 * A stand-in backend server beside a node. It runs as many requests at a time as it has slots, queues a few more and
 * rejects the rest, and sends heartbeats to the node on its host.
 */
export class Instance {
    constructor(
        deployment,
        node,
        { id, service = node.service, version = "v1", slots = 12, workMs = 40, port = "instance" },
    ) {
        Object.assign(this, { deployment, node, id, service, version, slots, workMs });
        this.address = deployment.addressOf(node, port);
        this.born = Date.now();
        this.sequence = 0;
        this.state = "ready";
        this.coldUntilMs = 0;
        this.active = 0;
        this.waiting = [];
        /** Requests that began to run. */
        this.runs = [];
        this.sockets = new Set();
        /** Decides how a run ends; returns the status of the response. */
        this.statusOf = () => 200;
        /** How long a request runs. */
        this.workMsOf = () => this.workMs;
        /** Returns further headers of the response. */
        this.headersOf = () => ({});
    }

    async start({ heartbeatMs = 1_500 } = {}) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 10_000;
        this.server.on("connection", (socket) => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        });
        const [host, port] = this.address.split(":");
        await new Promise((done) => this.server.listen(Number(port), host, done));
        this.deployment.record("instance-started", { instance: this.id, node: this.node.name, version: this.version });
        if (heartbeatMs > 0) {
            void this.sendHeartbeat();
            this.timer = setInterval(() => void this.sendHeartbeat(), heartbeatMs);
        }
    }

    coldRemainingMs() {
        return Math.max(0, Math.round(this.coldUntilMs - this.deployment.nowMs()));
    }

    /** What it says of itself now. */
    nextHeartbeat() {
        this.sequence += 1;
        return JSON.stringify({
            ServiceName: this.service,
            Address: this.address,
            Zone: this.node.zone,
            ConfigVersion: this.version,
            Slots: this.slots,
            State: this.state,
            ColdRemaining: `${this.coldRemainingMs()}ms`,
            Sequence: this.sequence,
            born: this.born,
        });
    }

    /** Sends a heartbeat. One that is late was made now and arrives `lateMs` later. */
    async sendHeartbeat(lateMs = 0) {
        const body = this.nextHeartbeat();
        if (lateMs > 0) {
            this.deployment.record("heartbeat-delayed", { instance: this.id, lateMs, body });
            await pause(lateMs);
        }
        const status = await this.post(`/filbertdeal/Instances.Heartbeat/${this.id}`, body);
        if (lateMs > 0) {
            this.deployment.record("heartbeat-arrived", { instance: this.id, status });
        }
        return status;
    }

    async post(path, body) {
        const response = await this.deployment.send(this.deployment.addressOf(this.node, "control"), {
            method: "POST",
            path,
            body,
            headers: { "Content-Type": "application/json" },
        });
        return response?.status;
    }

    /** Leaves without saying that it drains: it sends no more heartbeats and goes on serving. */
    async deregister() {
        clearInterval(this.timer);
        const body = JSON.stringify({ born: this.born });
        const status = await this.post(`/filbertdeal/Instances.Deregister/${this.id}`, body);
        return this.deployment.record("deregistered", { instance: this.id, status });
    }

    /** Says that it drains until that is acknowledged. */
    async drain() {
        this.state = "draining";
        while (await this.sendHeartbeat() !== 200) {
            await pause(200);
        }
        this.deployment.record("draining", { instance: this.id });
    }

    /** Ends at once. */
    stop() {
        clearInterval(this.timer);
        this.server?.close();
        this.sockets.forEach((socket) => socket.destroy());
        this.deployment.record("instance-ended", { instance: this.id });
    }

    async serve(request, response) {
        const { headers, url } = request;
        request.resume();
        const id = String(headers["request-id"]);
        if (url === "/healthz") {
            if (!await this.enter(response)) {
                return;
            }
            this.leave();
            const isHealthy = this.state === "ready";
            response.writeHead(isHealthy ? 200 : 503, {
                "Instance-Id": this.id,
                ...(this.coldRemainingMs() > 0 && { "Cold-Ms": String(this.coldRemainingMs()) }),
            });
            response.end();
            this.onHealthCheck?.();
            return;
        }
        const expected = headers["expected-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "Instance-Id": this.id, "Not-Executed": "1" });
            response.end();
            return;
        }
        const arrival = { id, path: url, arrivedMs: this.deployment.nowMs(), caller: headers["caller-service"] };
        this.onArrival?.(arrival);
        if (!await this.enter(response)) {
            return;
        }
        this.runs.push(arrival);
        await pause(this.workMsOf(arrival));
        this.leave();
        const status = this.statusOf(arrival);
        response.writeHead(status, {
            "Request-Id": id,
            "Response-Seal": `${this.id}.${id}`,
            "Keep-Alive": "timeout=10",
            ...this.headersOf(arrival),
            ...(this.state === "draining" && { Connection: "close" }),
        });
        response.end(`${this.id} ${this.version} ${id}`);
    }

    /** Waits for a slot. Rejects the request and resolves to false if too many wait. */
    async enter(response) {
        if (this.active >= this.slots) {
            if (this.waiting.length >= QUEUE_LENGTH) {
                response.writeHead(503, { "Not-Executed": "1" });
                response.end();
                return false;
            }
            await new Promise((done) => this.waiting.push(done));
        }
        this.active += 1;
        return true;
    }

    leave() {
        this.active -= 1;
        this.waiting.shift()?.();
    }
}
