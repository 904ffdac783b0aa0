import { createServer, request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

const HEARTBEAT_MS = 1_500;

/** A sound application instance beside a node, which it sends heartbeats. */
export class StandInServer {
    runs = [];
    /** When requests were dropped at which this instance was still at work, by their ids. */
    droppedMs = new Map();
    failureShare = 0;
    #sequence = 0;
    #bornMs = Date.now();
    #state = "ready";

    constructor({ id, service, version, host, port, controlPort, zone, workMs = 20, slots = 12 }) {
        Object.assign(this, { id, service, version, host, port, controlPort, zone, workMs, slots });
        this.server = createServer((incoming, response) => void this.#serve(incoming, response));
        this.server.keepAliveTimeout = 10_000;
    }

    async start() {
        await new Promise((settle) => this.server.listen(this.port, this.host, settle));
        this.timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
        while (!(await this.beat())) {
            await pause(200);
        }
    }

    stop() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Leaves as planned: it reports that, goes on for the time of `Drain` and a little longer, and ends. */
    async leave(drainMs) {
        this.#state = "draining";
        while (!(await this.beat())) {
            await pause(200);
        }
        await pause(drainMs + 500);
        await this.#post("Deregister", { born: this.#bornMs });
        this.stop();
    }

    /** Sends a heartbeat. Resolves to whether it was acknowledged. */
    beat() {
        this.#sequence += 1;
        return this.#post("Heartbeat", this.#message());
    }

    /** Sends a heartbeat as another writer might, who knows this instance's id but not the field `born`. */
    beatOfAnotherWriter() {
        return this.#post("Heartbeat", { ...this.#message(), State: "draining", born: undefined });
    }

    #message() {
        return {
            ServiceName: this.service,
            Address: `${this.host}:${this.port}`,
            Zone: this.zone,
            ConfigVersion: this.version,
            Slots: this.slots,
            State: this.#state,
            ColdRemaining: "0ms",
            Sequence: this.#sequence,
            born: this.#bornMs,
        };
    }

    #post(call, message) {
        return new Promise((settle) => {
            const outgoing = request(
                {
                    host: this.host,
                    port: this.controlPort,
                    method: "POST",
                    path: `/filbertdeal/Instances.${call}/${this.id}`,
                    headers: { "Content-Type": "application/json" },
                    timeout: 1_000,
                    agent: false,
                },
                (response) => {
                    response.resume();
                    settle(response.statusCode === 200);
                },
            );
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", () => settle(false));
            outgoing.end(JSON.stringify(message));
        });
    }

    async #serve(incoming, response) {
        const { headers } = incoming;
        incoming.resume();
        if (incoming.url === "/healthz") {
            response.writeHead(200, { "Instance-Id": this.id }).end();
            return;
        }
        const id = String(headers["request-id"]);
        const expected = headers["expected-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "Request-Id": id, "Not-Executed": "1" }).end();
            return;
        }
        this.runs.push(id);
        response.once("close", () => {
            if (!response.writableFinished) {
                this.droppedMs.set(id, performance.now());
            }
        });
        await pause(this.workMs);
        const status = Math.random() < this.failureShare ? 500 : 200;
        response.writeHead(status, { "Request-Id": id, "Response-Seal": `seal-${id}-${status}` });
        response.end(`${this.version} ${id}`);
    }
}
