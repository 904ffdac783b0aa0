import { sampleConfiguration } from "../../configuration/__tests__/sampleConfiguration";
import { RequestKind } from "../../configuration/RequestKind";
import { RandomSource } from "../../core/RandomSource";
import { SystemClock } from "../../core/SystemClock";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { BackendSelector } from "../BackendSelector";
import { BackendViews } from "../BackendViews";
import { CallDispatcher } from "../CallDispatcher";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { CallTask } from "../CallTask";
import { evacuatedResult } from "../evacuatedResult";
import { NestedCalls } from "../NestedCalls";
import { RoutableBackend } from "../RoutableBackend";
import { RouteStatistics } from "../RouteStatistics";
import { splitByZone } from "../splitByZone";
import { noLateness } from "./noLateness";
import { sampleRequest } from "./sampleRequest";
import { sampleZoneSettings } from "./sampleZoneSettings";

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.from("tile") },
};

const backends = ["one", "two"].map((nodeId): RoutableBackend => ({
    nodeId,
    address: `${nodeId}:7`,
    zone: "a",
    service: "canopy-map",
    version: "v1",
    instanceId: `i-${nodeId}`,
    bornMs: 0,
    slots: 4,
    warmAtMs: 0,
}));

/** Samples of a route's latency that are needed before its requests are hedged. */
const SAMPLES = 30;

describe("CallDispatcher", () => {
    test("counts the first attempt as overdue only if its hedge succeeds first", async () => {
        const clock = new SystemClock();
        const overdue: boolean[] = [];
        /** How long the attempts of the next request take, in order. */
        let attemptsMs: readonly number[] = [];
        let attempts = 0;
        const send: CallTask["send"] = (_node, _address, _request, _idempotent, signal) =>
            new Promise((resolve) => {
                const timer = setTimeout(() => resolve(answered), attemptsMs[attempts]);
                attempts += 1;
                signal.addEventListener("abort", () => {
                    clearTimeout(timer);
                    resolve({ kind: "unknown", reason: "cancelled" });
                });
            });
        const views = new BackendViews();
        const statistics = new RouteStatistics();
        const backendsOf = () => splitByZone(backends, "a");
        const dispatcher = new CallDispatcher({
            clock,
            turns: noLateness,
            calls: { send } as unknown as CallTask,
            views,
            statistics,
            nestedCalls: new NestedCalls(),
            crashEvidence: createCrashEvidence(),
            isEvacuated: () => false,
            selector: new BackendSelector({
                ...sampleZoneSettings,
                clock,
                random: new RandomSource(1),
                views,
                statistics,
                backendsOf,
                stableBackendsOf: backendsOf,
            }),
            allowance: { ratio: 1, windowMs: 10_000, slack: 100 },
            onAttempt: (attempt) => overdue.push(attempt.overdue),
        });
        const dispatch = (durationsMs: readonly number[]) => {
            attemptsMs = durationsMs;
            attempts = 0;
            return dispatcher.dispatch({
                route: { ...sampleConfiguration(1).routes[0], maximumAttempts: 2 },
                service: "canopy-map",
                request: sampleRequest("r-1"),
                targetAtMs: clock.monotonicMs() + 500,
                deadlineMs: clock.monotonicMs() + 5_000,
                signal: new AbortController().signal,
            });
        };
        for (let sample = 0; sample < SAMPLES; sample += 1) {
            await dispatch([2]);
        }
        overdue.length = 0;
        await dispatch([200, 1_000]);
        expect(overdue).toEqual([false, false]);
        overdue.length = 0;
        await dispatch([2_000, 5]);
        expect(overdue).toEqual([false, true]);
    });

    /** Dispatches one request; `resultOf` gives the result of each attempt. Returns the result and the tried nodes. */
    const dispatchOnce = async (
        nodes: readonly RoutableBackend[],
        resultOf: (nodeId: string, request: CallRequest) => CallResult,
        answerWithinMs?: number,
        turns = noLateness,
    ) => {
        const send = (nodeId: string, _address: string, request: CallRequest): Promise<CallResult> =>
            Promise.resolve(resultOf(nodeId, request));
        const clock = new SystemClock();
        const views = new BackendViews();
        const statistics = new RouteStatistics();
        const tried: string[] = [];
        const dispatcher = new CallDispatcher({
            clock,
            turns,
            calls: { send, answerWithinMs } as unknown as CallTask,
            views,
            statistics,
            nestedCalls: new NestedCalls(),
            crashEvidence: createCrashEvidence(),
            isEvacuated: () => true,
            selector: new BackendSelector({
                ...sampleZoneSettings,
                clock,
                random: new RandomSource(1),
                views,
                statistics,
                backendsOf: () => splitByZone(nodes, "a"),
                stableBackendsOf: () => splitByZone(nodes, "a"),
            }),
            allowance: { ratio: 1, windowMs: 10_000, slack: 100 },
            onAttempt: ({ choice }) => tried.push(choice.nodeId),
        });
        const result = await dispatcher.dispatch({
            route: sampleConfiguration(1).routes[0],
            service: "canopy-map",
            request: sampleRequest("r-1"),
            targetAtMs: clock.monotonicMs() + 500,
            deadlineMs: clock.monotonicMs() + 5_000,
            signal: new AbortController().signal,
        });
        return { result, tried };
    };

    test("tells the backend server when a request is not tried at another one", async () => {
        const nodes = ["e1", "e2"].map((nodeId) => ({ ...backends[0], nodeId }));
        const last: (boolean | undefined)[] = [];
        await dispatchOnce(nodes, (_, { isLastAttempt }) => {
            last.push(isLastAttempt);
            return { kind: "not-run", reason: "no-room", retryAfterMs: 0 };
        });
        expect(last).toEqual([undefined, true]);
    });

    // Guards against further work at nodes that are behind: each attempt would be refused for what the sender doesn't know.
    test("tries a request whose caller may have left elsewhere only if this node itself keeps up", async () => {
        const nodes = ["e1", "e2"].map((nodeId) => ({ ...backends[0], nodeId }));
        const refused: CallResult = { kind: "not-run", reason: "unconfirmed", retryAfterMs: 450 };
        const resultOf = (): CallResult => refused;
        const late = await dispatchOnce(nodes, resultOf, undefined, { ...noLateness, sincePolledMs: 300 });
        expect(late).toEqual({ result: refused, tried: ["e1"] });
        const { tried } = await dispatchOnce(nodes, resultOf);
        expect(tried).toHaveLength(2);
    });

    test("refuses a request at once with the reason if every zone is evacuated", async () => {
        const { result, tried } = await dispatchOnce([], () => answered);
        expect(result).toMatchObject({ kind: "not-run", reason: "evacuated" });
        expect(result.kind === "not-run" && result.retryAfterMs).toBeGreaterThan(0);
        expect(tried).toEqual([]);
    });

    // Guards against a sender that has not learned of an evacuation and gives up after three refusals of that zone.
    test("reaches another zone after the refusals of a zone whose evacuation it has not learned of", async () => {
        const nodes = ["e1", "e2", "e3", "e4", "e5"].map((nodeId) => ({ ...backends[0], nodeId }));
        const other = { ...backends[0], nodeId: "other", zone: "b" };
        const { result, tried } = await dispatchOnce(
            [...nodes, other],
            (nodeId) => (nodeId === "other" ? answered : evacuatedResult("r-1")),
        );
        expect(result).toBe(answered);
        expect(tried.at(-1)).toBe("other");
    });

    // Guards against callers that use up their retries while a stopping node refuses the same request again.
    test("tries a request elsewhere if a node stops, and asks its caller back once this node has stopped", async () => {
        const nodes = ["stopping", "other"].map((nodeId) => ({ ...backends[0], nodeId }));
        const stopping: CallResult = { kind: "not-run", reason: "stopping", retryAfterMs: 0 };
        const elsewhere = await dispatchOnce(nodes, (nodeId) => (nodeId === "other" ? answered : stopping));
        expect(elsewhere.result).toBe(answered);
        const refused = await dispatchOnce(nodes, () => stopping, 2_000);
        expect(refused.tried).toHaveLength(2);
        expect(refused.result).toMatchObject({ kind: "not-run", reason: "stopping", retryAfterMs: 2_000 });
        const tooLate = await dispatchOnce(nodes, () => stopping, 0);
        expect(tooLate.tried).toHaveLength(1);
    });

    describe("with a request under which backend servers crash", () => {
        const three = [...backends, { ...backends[0], nodeId: "three", instanceId: "i-three" }];

        /** Creates a sender; `resultOf` gives the result of each attempt. */
        const createSender = (
            resultOf: (nodeId: string, request: CallRequest) => CallResult | Promise<CallResult>,
            kind: RequestKind = "idempotent",
            crashEvidence = createCrashEvidence(),
        ) => {
            const clock = new SystemClock();
            const views = new BackendViews();
            const statistics = new RouteStatistics();
            const sent: CallRequest[] = [];
            const nodes: string[] = [];
            const backendsOf = () => splitByZone(three, "a");
            const send = (nodeId: string, _address: string, request: CallRequest) => {
                nodes.push(nodeId);
                sent.push(request);
                return Promise.resolve(resultOf(nodeId, request));
            };
            const random = new RandomSource(1);
            const dispatcher = new CallDispatcher({
                clock,
                turns: noLateness,
                calls: { send } as unknown as CallTask,
                views,
                statistics,
                nestedCalls: new NestedCalls(),
                crashEvidence,
                isEvacuated: () => false,
                selector: new BackendSelector({
                    ...sampleZoneSettings,
                    clock,
                    random,
                    views,
                    statistics,
                    backendsOf,
                    stableBackendsOf: backendsOf,
                }),
                allowance: { ratio: 1, windowMs: 10_000, slack: 100 },
                onAttempt: () => undefined,
            });
            const dispatch = (target: string) =>
                dispatcher.dispatch({
                    route: { ...sampleConfiguration(1).routes[0], kind, maximumAttempts: 3 },
                    service: "canopy-map",
                    request: sampleRequest("r-1", { target }),
                    targetAtMs: clock.monotonicMs() + 500,
                    deadlineMs: clock.monotonicMs() + 5_000,
                    signal: new AbortController().signal,
                });
            return { crashEvidence, dispatch, nodes, sent };
        };

        const crashResult = (nodeId: string, { crashRank = 0, fingerprint = "" }: CallRequest): CallResult => ({
            kind: "unknown",
            reason: "backend-ended",
            crashReport: {
                fingerprint,
                service: "canopy-map",
                crashes: [{ backend: nodeId, backendVersion: "v1", rank: crashRank + 1, ageMs: 0 }],
            },
        });

        /** Reports as many crashes, long enough ago for a trial. */
        const learn = (evidence: ReturnType<typeof createCrashEvidence>, fingerprint: string, count: number) =>
            evidence.receive(
                Array.from({ length: count }, (_, index) => ({
                    fingerprint,
                    service: "canopy-map",
                    crashes: [{ backend: `x-${index}`, backendVersion: "v1", rank: index + 1, ageMs: 6_000 }],
                })),
            );

        // Guards against inc1: the attempts and resends of such a request go on after crashes that the sender knows.
        test("makes no further attempt after a second crash, and refuses resends as not run until a trial is due", async () => {
            const { dispatch, nodes, sent } = createSender(crashResult);
            expect(await dispatch("/crash")).toMatchObject({ kind: "unknown", reason: "backend-ended" });
            expect(sent.map(({ crashRank }) => crashRank)).toEqual([undefined, 1]);
            expect(await dispatch("/crash")).toMatchObject({ kind: "not-run", reason: "crashes-backends" });
            expect(nodes).toHaveLength(2);
            await dispatch("/other");
            expect(nodes).toHaveLength(4);
        });

        test("sends a request that is not idempotent once, and refuses no resend after a single crash", async () => {
            const { dispatch, nodes } = createSender(crashResult, "non-idempotent");
            expect(await dispatch("/crash")).toMatchObject({ kind: "unknown", reason: "backend-ended" });
            expect(await dispatch("/crash")).toMatchObject({ kind: "unknown", reason: "backend-ended" });
            expect(await dispatch("/crash")).toMatchObject({ kind: "not-run", reason: "crashes-backends" });
            expect(nodes).toHaveLength(2);
        });

        // Guards against trials of one request at several backend servers at a time.
        test("makes a trial at the same backend server from every node, and at the next only if that one is absent", async () => {
            const senders = [1, 2, 3, 4].map(() => createSender(() => answered));
            const { dispatch, sent } = senders[0];
            await dispatch("/crash");
            const fingerprint = sent[0].fingerprint ?? "";
            for (const sender of senders) {
                learn(sender.crashEvidence, fingerprint, 2);
                expect(await sender.dispatch("/crash")).toBe(answered);
            }
            const trials = senders.map(({ nodes }) => nodes[nodes.length - 1]);
            expect(new Set(trials).size).toBe(1);
            expect(senders[1].sent[0]).toMatchObject({ isTrial: true, crashRank: 2 });
            const busy: CallResult = { kind: "not-run", reason: "crashes-backends", retryAfterMs: 9 };
            const absent: CallResult = { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };
            const atBusy = createSender(() => busy);
            learn(atBusy.crashEvidence, fingerprint, 2);
            expect(await atBusy.dispatch("/crash")).toBe(busy);
            expect(atBusy.nodes).toEqual([trials[0]]);
            const atAbsent = createSender((nodeId) => (nodeId === trials[0] ? absent : answered));
            learn(atAbsent.crashEvidence, fingerprint, 2);
            expect(await atAbsent.dispatch("/crash")).toBe(answered);
            expect(atAbsent.nodes).toHaveLength(2);
        });

        // Guards against a second backend server that crashes under a hedge of the request.
        test("does not hedge it after one crash, unlike other requests", async () => {
            let delayMs = 2;
            const { crashEvidence, dispatch, nodes, sent } = createSender(async () => {
                await new Promise((resolve) => setTimeout(resolve, delayMs));
                return answered;
            });
            for (let sample = 0; sample < SAMPLES; sample += 1) {
                await dispatch("/crash");
            }
            delayMs = 200;
            const countAttempts = async (target: string): Promise<number> => {
                nodes.length = 0;
                await dispatch(target);
                return nodes.length;
            };
            learn(crashEvidence, sent[0].fingerprint ?? "", 1);
            expect(await countAttempts("/crash")).toBe(1);
            expect(await countAttempts("/other")).toBe(2);
        });

        test("serves it again everywhere after a completed trial", async () => {
            const { crashEvidence, dispatch, sent } = createSender(() => answered);
            await dispatch("/crash");
            learn(crashEvidence, sent[0].fingerprint ?? "", 2);
            expect(crashEvidence.list()).toHaveLength(1);
            await dispatch("/crash");
            expect(crashEvidence.list()).toEqual([]);
        });
    });
});
