import { BackendClient } from "../BackendClient";
import { CallReceiver } from "../CallReceiver";
import { CallResult } from "../CallResult";
import { HealthCheckClient } from "../HealthCheckClient";
import { HealthCheckResponse } from "../HealthCheckResponse";
import { createReceiver } from "./createReceiver";
import { sampleRequest } from "./sampleRequest";

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.alloc(0) },
};

afterEach(() => {
    jest.useRealTimers();
});

describe("a backend server of a service with a limit for cold ones", () => {
    const RATE = 9.1;
    const BOUND = 21.65;
    const WORK_MS = 40;
    const CHECK_MS = 15;
    const service = {
        name: "canopy-map",
        healthCheckPath: "/healthz",
        maximumConnections: 100,
        protocol: "h1",
        tls: false,
        coldRequestsPerSecond: RATE,
    };
    let arrivals: number[];
    let checks: number[];
    /** Time until which the backend server is cold. */
    let coldUntilMs: number;
    let result: CallResult;
    let receiver: CallReceiver;
    let createWith: (slots: number) => CallReceiver;

    beforeEach(() => {
        jest.useFakeTimers();
        arrivals = [];
        checks = [];
        coldUntilMs = 0;
        result = answered;
        const client = {
            send: async () => {
                arrivals.push(performance.now());
                await new Promise((resolve) => setTimeout(resolve, WORK_MS));
                return result;
            },
            closeIdle: () => undefined,
        };
        const healthChecks = {
            check: async (): Promise<HealthCheckResponse> => {
                checks.push(performance.now());
                const coldRemainingMs = Math.max(0, coldUntilMs - performance.now());
                await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
                return { kind: "answered", instanceId: "i-1", coldRemainingMs };
            },
        };
        createWith = (slots) =>
            createReceiver(
                client as unknown as BackendClient,
                slots,
                healthChecks as unknown as HealthCheckClient,
            );
        receiver = createWith(1);
    });

    const offer = async (forMs: number, perSecond: number): Promise<readonly number[]> => {
        const startMs = performance.now();
        while (performance.now() - startMs < forMs) {
            const request = sampleRequest("r", { remainingMs: 500, targetRemainingMs: 300 });
            void receiver.receive("node-1", request, new AbortController().signal);
            await jest.advanceTimersByTimeAsync(1_000 / perSecond);
        }
        return arrivals.filter((ms) => ms >= startMs);
    };

    const mostInASecond = (timesMs: readonly number[]): number =>
        Math.max(0, ...timesMs.map((startMs) => timesMs.filter((ms) => ms >= startMs && ms < startMs + 1_000).length));

    test("keeps its one slot for a health check, and gets all requests while it confirms that it is warm", async () => {
        receiver.configure([service]);
        const sent = await offer(5_000, 22);
        expect(sent.length).toBeGreaterThan(0.85 * 22 * 5);
        expect(checks.length).toBeGreaterThan(0);
        expect(checks.length).toBeLessThan(15);
        // Simulated timers fire up to a millisecond early.
        const checked = (ms: number): boolean => checks.some((sentMs) => ms > sentMs && ms < sentMs + CHECK_MS - 1);
        expect(arrivals.filter(checked)).toEqual([]);
        const busy = (ms: number): boolean => arrivals.some((startMs) => ms > startMs && ms < startMs + WORK_MS - 1);
        expect(checks.filter(busy)).toEqual([]);
    });

    test("gets no more than its bound and soon no more than its rate once it turns cold without notice", async () => {
        receiver.configure([service]);
        await offer(3_000, 20);
        coldUntilMs = performance.now() + 10_000;
        expect(mostInASecond(await offer(1_500, 20))).toBeLessThanOrEqual(BOUND);
        expect((await offer(4_000, 20)).length).toBeLessThanOrEqual(1.1 * RATE * 4);
        expect(receiver.limitInEffect).toEqual({ perSecond: RATE, reason: "cold" });
        expect(receiver.loadFor("node-1", "tiles")?.pacingMs).toBeGreaterThan(0);
    });

    // Guards against a late heartbeat from before it became cold, which lifts the limit.
    test("gets no more than its bound in a second if warm heartbeats from before it turned cold arrive late", async () => {
        receiver = createWith(6);
        receiver.configure([service]);
        await offer(3_000, 20);
        coldUntilMs = performance.now() + 10_000;
        const sent: number[] = [];
        for (let sequence = 2; sequence < 5; sequence += 1) {
            sent.push(...await offer(250, 80));
            const { localInstance } = receiver;
            receiver.updateInstance(localInstance && { ...localInstance, sequence, warmAtMs: performance.now() });
        }
        sent.push(...await offer(750, 80));
        expect(mostInASecond(sent)).toBeLessThanOrEqual(BOUND);
    });

    // Guards against a crash that is noticed only with the next heartbeat.
    test("counts as cold after a connection was reset, until a health check tells that it is warm", async () => {
        receiver.configure([service]);
        await offer(500, 10);
        result = { kind: "unknown", reason: "broken" };
        await offer(WORK_MS + 5, 1_000 / (WORK_MS + 5));
        expect(receiver.limitInEffect?.reason).toBe("cold");
        expect(receiver.loadFor("node-1", "tiles")?.coldRemainingMs).toBeUndefined();
        await jest.advanceTimersByTimeAsync(CHECK_MS);
        expect(checks.length).toBe(1);
        expect(receiver.limitInEffect).toBeUndefined();
    });

    // Guards against a node that has restarted and gets requests before it has a configuration.
    test("is limited by the rate that the sending node knows until there is a configuration", async () => {
        const request = sampleRequest("r", { coldRequestsPerSecond: RATE });
        const { localInstance } = receiver;
        receiver.updateInstance(
            localInstance && { ...localInstance, sequence: 2, warmAtMs: performance.now() + 5_000 },
        );
        void receiver.receive("node-1", request, new AbortController().signal);
        expect(receiver.limitInEffect).toEqual({ perSecond: RATE, reason: "cold" });
        receiver.configure([{ ...service, coldRequestsPerSecond: undefined }]);
        expect(receiver.limitInEffect).toBeUndefined();
    });

    test("is limited by the lower one of this limit and the one that it states", () => {
        receiver.configure([service]);
        const { localInstance } = receiver;
        receiver.updateInstance(
            localInstance && { ...localInstance, sequence: 2, warmAtMs: performance.now() + 5_000 },
        );
        receiver.applyNotice("i-1", { limitPerSecond: 4, isLeaving: false });
        expect(receiver.limitInEffect).toEqual({ perSecond: 4, reason: "stated" });
        receiver.applyNotice("i-1", { limitPerSecond: 40, isLeaving: false });
        expect(receiver.limitInEffect).toEqual({ perSecond: RATE, reason: "cold" });
    });
});
