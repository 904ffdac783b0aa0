import * as fc from "fast-check";
import { sampleEntry } from "../../catalogue/__tests__/sampleEntry";
import { Route } from "../../catalogue/Route";
import { ServiceClass } from "../../catalogue/ServiceClass";
import { RandomSource } from "../../core/RandomSource";
import { EndpointState } from "../../membership/EndpointState";
import { admissionQueue } from "../admissionQueue";
import { AttemptOutcome } from "../AttemptOutcome";
import { chooseVersion } from "../chooseVersion";
import { decideRetry } from "../decideRetry";
import { EndpointLoad } from "../EndpointLoad";
import { endpointLoads } from "../endpointLoads";
import { EndpointTarget } from "../EndpointTarget";
import { localBackends } from "../localBackends";
import { matchRoute } from "../matchRoute";
import { pickEndpoint } from "../pickEndpoint";
import { retryBudgets } from "../retryBudgets";

const [readRoute] = sampleEntry().content.routes;
const orderRoute: Route = { ...readRoute, name: "orders", method: "POST", idempotent: false, maximumRetries: 0 };

describe("decideRetry and retryBudgets", () => {
    const context = {
        route: readRoute,
        outcome: AttemptOutcome.Failed,
        attempts: 1,
        repeatableBody: true,
        alreadyRetried: false,
        remainingMs: 100,
        budget: retryBudgets.initial,
    };

    test.each([AttemptOutcome.Failed, AttemptOutcome.Broken, AttemptOutcome.TimedOut])(
        "never retries a non-idempotent request that may have run: %s",
        (outcome) => expect(decideRetry({ ...context, route: orderRoute, outcome })).toBe(false),
    );

    test("retries any request that did not run", () => {
        expect(decideRetry({ ...context, route: orderRoute, outcome: AttemptOutcome.NotRun })).toBe(true);
        expect(decideRetry({ ...context, route: orderRoute, outcome: AttemptOutcome.Unreachable })).toBe(true);
    });

    test.each([
        ["the budget is spent", { budget: { tokens: 0.9 } }],
        ["too little time is left before the deadline", { remainingMs: 4 }],
        ["the body was streamed", { repeatableBody: false }],
        ["an earlier hop has already retried", { alreadyRetried: true }],
        ["the route's retries are used up", { attempts: 2 }],
        ["the caller has cancelled", { outcome: AttemptOutcome.Cancelled }],
    ])("does not retry when %s", (_, change) => expect(decideRetry({ ...context, ...change })).toBe(false));

    test("limits retries to a tenth of the requests, plus the initial tokens, even if every request fails", () => {
        let budget = retryBudgets.initial;
        let retries = 0;
        for (let request = 0; request < 10_000; request += 1) {
            budget = retryBudgets.onRequest(budget);
            if (retryBudgets.canSpend(budget)) {
                budget = retryBudgets.spend(budget);
                retries += 1;
            }
        }
        expect(retries).toBeLessThanOrEqual(1_000 + 10);
    });
});

describe("admission", () => {
    const limits = { maximumConcurrent: 2, maximumQueued: 2 };
    const request = (id: number, change: Partial<Parameters<typeof admissionQueue.arrive>[1]> = {}) => ({
        id,
        class: ServiceClass.Standard,
        caller: "a",
        deadlineMs: 1_000,
        ...change,
    });
    const arriveAll = (requests: readonly ReturnType<typeof request>[]) =>
        requests.reduce((state, next) => admissionQueue.arrive(state, next, limits, 0).state, admissionQueue.initial);

    test("refuses at once a request that can't finish before its deadline", () => {
        const busy = { ...arriveAll([request(1), request(2)]), serviceMs: 100 };
        expect(admissionQueue.arrive(busy, request(3, { deadlineMs: 120 }), limits, 0).refused).toEqual([3]);
        expect(admissionQueue.arrive(busy, request(3, { deadlineMs: 500 }), limits, 0).refused).toEqual([]);
    });

    test("refuses a request of the lowest class when the queue is full", () => {
        const full = arriveAll([request(1), request(2), request(3, { class: ServiceClass.Bulk }), request(4)]);
        const critical = request(5, { class: ServiceClass.Critical });
        expect(admissionQueue.arrive(full, critical, limits, 0).refused).toEqual([3]);
        expect(admissionQueue.arrive(full, request(6, { class: ServiceClass.Bulk }), limits, 0).refused).toEqual([6]);
    });

    test("lets callers take turns, however many requests one of them sends", () => {
        const longQueueLimits = { maximumConcurrent: 1, maximumQueued: 10 };
        let state = admissionQueue.initial;
        for (const [id, caller] of [[1, "a"], [2, "a"], [3, "a"], [4, "b"]] as const) {
            state = admissionQueue.arrive(state, request(id, { caller }), longQueueLimits, 0).state;
        }
        expect(admissionQueue.finish(state, 5, longQueueLimits, 0).started).toEqual([4]);
    });

    test("never exceeds its limits, and starts or refuses each request at most once", () => {
        const step = fc.record({
            arrives: fc.boolean(),
            deadlineMs: fc.integer({ min: 1, max: 200 }),
            elapsedMs: fc.nat(50),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
                let state = admissionQueue.initial;
                const settled: number[] = [];
                steps.forEach(({ arrives, deadlineMs, elapsedMs }, index) => {
                    const nowMs = index * 5;
                    const result = arrives || state.active === 0
                        ? admissionQueue.arrive(
                            state,
                            request(index, { deadlineMs: nowMs + deadlineMs }),
                            limits,
                            nowMs,
                        )
                        : admissionQueue.finish(state, elapsedMs, limits, nowMs);
                    state = result.state;
                    settled.push(...result.started, ...result.refused);
                    expect(state.active).toBeLessThanOrEqual(limits.maximumConcurrent);
                    expect(state.queue.length).toBeLessThanOrEqual(limits.maximumQueued);
                });
                expect(new Set(settled).size).toBe(settled.length);
            }),
            { seed: 21, numRuns: 500 },
        );
    });
});

describe("pickEndpoint", () => {
    const target = (memberId: string, change: Partial<EndpointTarget> = {}): EndpointTarget => ({
        memberId,
        zone: "a",
        inboundAddress: `${memberId}:1`,
        slots: 12,
        suspect: false,
        ...change,
    });
    const idle = endpointLoads.initial(0);
    const pickMany = (
        targets: readonly EndpointTarget[],
        loads: Readonly<Record<string, Partial<EndpointLoad>>>,
        change: { readonly nowMs?: number; readonly startedMs?: number; } = {},
    ) => {
        const random = new RandomSource(31);
        const counts = new Map<string, number>();
        for (let pick = 0; pick < 1_000; pick += 1) {
            const picked = pickEndpoint({
                targets,
                loadOf: ({ memberId }) => ({ ...idle, ...loads[memberId] }),
                ownZone: "a",
                triedMemberIds: new Set(),
                startedMs: 0,
                nowMs: 60_000,
                random,
                ...change,
            });
            counts.set(picked?.memberId ?? "", (counts.get(picked?.memberId ?? "") ?? 0) + 1);
        }
        return (memberId: string): number => counts.get(memberId) ?? 0;
    };

    test("does not prefer a backend server because it fails fast", () => {
        let load: EndpointLoad = { ...idle, latencyMs: 10 };
        for (let failure = 0; failure < 4; failure += 1) {
            load = endpointLoads.end(endpointLoads.begin(load), AttemptOutcome.Failed, 0.1, 0);
        }
        const countOf = pickMany([target("sound"), target("failing")], { sound: { latencyMs: 10 }, failing: load });
        expect(countOf("failing")).toBeLessThan(300);
    });

    test("ejects a backend server after repeated failures, but ignores ejections of more than half of a pool", () => {
        const failing = Array.from({ length: 5 }).reduce<EndpointLoad>(
            (load) => endpointLoads.end(endpointLoads.begin(load), AttemptOutcome.Broken, 1, 60_000),
            idle,
        );
        const oneEjected = pickMany([target("x"), target("y"), target("z")], { x: failing });
        expect(oneEjected("x")).toBe(0);
        const allEjected = pickMany([target("x"), target("y"), target("z")], { x: failing, y: failing, z: failing });
        expect(allEjected("x") + allEjected("y") + allEjected("z")).toBe(1_000);
    });

    test("stays in the own zone while it has capacity, and uses other zones before the own one is overloaded", () => {
        const targets = [target("near"), target("far", { zone: "b" })];
        expect(pickMany(targets, {})("far")).toBe(0);
        expect(pickMany(targets, { near: { outstanding: 9 } })("far")).toBeGreaterThan(400);
    });

    test("gives a backend server that has just appeared a rising share of requests", () => {
        const targets = [target("warm"), target("cold")];
        const early = pickMany(targets, { cold: { firstSeenMs: 59_500 }, warm: { latencyMs: 5 } })("cold");
        const later = pickMany(targets, { cold: { firstSeenMs: 48_000 }, warm: { latencyMs: 5 } })("cold");
        expect(early).toBeLessThan(300);
        expect(later).toBeGreaterThan(400);
    });

    test("uses suspect endpoints and those that just refused a request only if there is no other", () => {
        const targets = [target("x", { suspect: true }), target("y"), target("z")];
        const countOf = pickMany(targets, { z: { refusedUntilMs: 61_000 } });
        expect(countOf("y")).toBe(1_000);
        expect(pickMany([target("x", { suspect: true })], {})("x")).toBe(1_000);
    });
});

describe("matchRoute and chooseVersion", () => {
    const content = sampleEntry({
        routes: [
            { ...readRoute, name: "all", method: undefined, pathPrefix: "/" },
            { ...readRoute, name: "tiles", method: undefined, pathPrefix: "/tiles" },
            { ...orderRoute, name: "new-tiles", pathPrefix: "/tiles" },
        ],
    }).content;

    test.each([
        ["GET", "/", "all"],
        ["GET", "/tiles", "tiles"],
        ["GET", "/tiles/1?size=2", "tiles"],
        ["POST", "/tiles?x", "new-tiles"],
        ["GET", "/tilesets", "all"],
    ])(
        "%s %s matches the route %s",
        (method, path, name) => expect(matchRoute(content, method, path)?.name).toBe(name),
    );

    test("sends the candidate its share of requests on participating proxies, and none once it is suppressed", () => {
        const stable = { version: 1, content };
        const candidate = { version: 2, content, requestShare: 0.1, proxyShare: 0.5 };
        const routing = { service: "map", revision: 1, class: ServiceClass.Standard, stable, candidate };
        const choose = (proxyFraction: number, requestFraction: number, suppressed = false) =>
            chooseVersion(routing, { proxyFraction, requestFraction, suppressed })?.version;
        expect(choose(0.4, 0.09)).toBe(2);
        expect(choose(0.4, 0.1)).toBe(1);
        expect(choose(0.5, 0)).toBe(1);
        expect(choose(0.4, 0.09, true)).toBe(1);
    });
});

describe("localBackends", () => {
    const announcement = {
        service: "map",
        backendVersion: "v1",
        slots: 12,
        state: EndpointState.Ready,
        address: "127.0.0.1:1",
    };

    test("removes a backend server when its lease expires", () => {
        const backends = localBackends.announce(new Map(), announcement, 0);
        expect(localBackends.expire(backends, 2_999).size).toBe(1);
        expect(localBackends.expire(backends, 3_000).size).toBe(0);
    });

    test("accepts no requests after the grace period of a drain, however often the drain is announced", () => {
        const draining = { ...announcement, state: EndpointState.Draining };
        let backends = localBackends.announce(new Map(), draining, 0);
        backends = localBackends.announce(backends, draining, 1_000);
        const local = backends.get("map/v1");
        expect(local && localBackends.acceptsRequests(local, 1_400)).toBe(true);
        expect(local && localBackends.acceptsRequests(local, 1_500)).toBe(false);
    });
});
