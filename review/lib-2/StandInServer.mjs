import { createServer, request } from "node:http";

const HEARTBEAT_MS = 1_500;

/** A sound application server beside a node: announces itself, runs as many requests as it has slots, queues others. */
export class StandInServer {
    /** What it ran: `{ id, server, path, startedMs, endedMs, outcome }`. Times are those of `performance.now()`. */
    runs = [];
    #waiting = [];
    #active = 0;
    #sequence = 0;
    #timer;
    #server;

    /**
     * @param options `{ id, version, host, port, controlPort, service, zone, slots, queue, workMs, answer }`; `answer`
     * returns the status of a response
     */
    constructor(options) {
        this.options = { version: "v1", slots: 6, queue: 24, workMs: () => 50, answer: () => 200, ...options };
        this.bornMs = Date.now();
        this.state = "ready";
    }

    async start() {
        const { host, port } = this.options;
        this.#server = createServer((incoming, response) => this.#receive(incoming, response));
        this.#server.keepAliveTimeout = 10_000;
        await new Promise((done) => this.#server.listen(port, host, done));
        this.#timer = setInterval(() => void this.announce(), HEARTBEAT_MS);
        // The node beside it may not listen yet, so the first one is repeated soon.
        const begin = async () => {
            if ((await this.announce()) !== 200 && this.#timer) {
                setTimeout(begin, 100);
            }
        };
        void begin();
    }

    stop() {
        clearInterval(this.#timer);
        this.#timer = undefined;
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Sends a heartbeat. Resolves to its status, 0 without a response within a second. */
    announce() {
        const { controlPort, host, id, port, service, slots, version, zone } = this.options;
        this.#sequence += 1;
        const body = JSON.stringify({
            ServiceName: service,
            Address: `${host}:${port}`,
            Zone: zone,
            ConfigVersion: version,
            Slots: slots,
            State: this.state,
            ColdRemaining: "0ms",
            Sequence: this.#sequence,
            born: this.bornMs,
        });
        return new Promise((done) => {
            const post = request({
                host,
                port: controlPort,
                path: `/filbertdeal/Instances.Heartbeat/${id}`,
                method: "POST",
                headers: { "Content-Type": "application/json" },
            }, (response) => {
                response.resume();
                response.on("end", () => done(response.statusCode));
            });
            post.on("error", () => done(0));
            post.setTimeout(1_000, () => post.destroy());
            post.end(body);
        });
    }

    #receive(incoming, response) {
        incoming.resume();
        const { id, queue, slots } = this.options;
        const requestId = incoming.headers["request-id"];
        const notRun = (status) =>
            response.writeHead(status, { "Request-Id": requestId ?? "", "Not-Executed": "1", "Content-Length": "0" })
                .end();
        if (incoming.url === "/healthz") {
            response.writeHead(200, { "Instance-Id": id }).end();
            return;
        }
        if (requestId === undefined) {
            notRun(400);
            return;
        }
        const expected = incoming.headers["expected-instance"];
        if (expected !== undefined && expected !== id) {
            notRun(421);
            return;
        }
        if (this.#active >= slots && this.#waiting.length >= queue) {
            notRun(503);
            return;
        }
        const arrivedMs = performance.now();
        this.#waiting.push({ requestId, incoming, response, notRun, arrivedMs });
        this.#startNext();
    }

    #startNext() {
        while (this.#active < this.options.slots && this.#waiting.length > 0) {
            const next = this.#waiting.shift();
            const deadlineMs = Number(next.incoming.headers["deadline-ms"] ?? Number.POSITIVE_INFINITY);
            if (next.response.destroyed) {
                continue;
            }
            if (performance.now() - next.arrivedMs >= deadlineMs) {
                next.notRun(503);
                continue;
            }
            this.#run(next, next.arrivedMs + deadlineMs);
        }
    }

    /** Runs a request. It is dropped when its connection closes, and ends with status 504 at its deadline. */
    #run({ incoming, requestId, response }, untilMs) {
        const { answer, id, onRun, workMs } = this.options;
        const run = { id: requestId, server: id, path: incoming.url, startedMs: performance.now(), outcome: "at work" };
        this.runs.push(run);
        onRun?.(run, incoming);
        this.#active += 1;
        const leftMs = untilMs - run.startedMs;
        const neededMs = workMs(incoming);
        const end = (outcome) => {
            if (run.endedMs !== undefined) {
                return;
            }
            clearTimeout(timer);
            run.endedMs = performance.now();
            run.outcome = outcome;
            this.#active -= 1;
            this.#startNext();
        };
        const timer = setTimeout(() => {
            const status = neededMs > leftMs ? 504 : answer(incoming);
            const text = `${id} ${requestId}`;
            response.writeHead(status, { "Request-Id": requestId, "Response-Seal": `seal-${requestId}` });
            response.end(text);
            end(String(status));
        }, Math.min(neededMs, leftMs));
        response.on("close", () => end("dropped"));
    }
}
