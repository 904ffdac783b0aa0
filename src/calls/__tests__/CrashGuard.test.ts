import { SystemClock } from "../../core/SystemClock";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { crashEvidence } from "../../crashes/crashEvidence";
import { CrashEvidenceTask } from "../../crashes/CrashEvidenceTask";
import { CrashReport } from "../../crashes/CrashReport";
import { BackendClient } from "../BackendClient";
import { CallReceiver } from "../CallReceiver";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { CrashGuard } from "../CrashGuard";
import { LocalInstance } from "../LocalInstance";
import { createReceiver } from "./createReceiver";
import { sampleRequest } from "./sampleRequest";

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.alloc(0) },
};
const ended: CallResult = { kind: "unknown", reason: "backend-ended" };
const cancelled: CallResult = { kind: "unknown", reason: "cancelled" };
const unreachable: CallResult = { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };

const instance: LocalInstance = {
    id: "i-1",
    service: "canopy-map",
    version: "v1",
    address: "127.0.0.1:9",
    slots: 4,
    bornMs: 1,
    sequence: 1,
    drainingSinceMs: undefined,
    warmAtMs: 0,
};

/** Reports of crashes under a request, each in a run after the one before. */
const crashes = (count: number, fingerprint = "f"): readonly CrashReport[] =>
    Array.from({ length: count }, (_, index) => ({
        fingerprint,
        service: "canopy-map",
        crashes: [{ backend: `x-${index}`, backendVersion: "v1", rank: index + 1, ageMs: crashEvidence.trialDelayMs }],
    }));

describe("CrashGuard", () => {
    let evidence: CrashEvidenceTask;
    let isPlannedEnd: boolean;
    let guard: CrashGuard;

    beforeEach(() => {
        evidence = createCrashEvidence();
        isPlannedEnd = false;
        guard = new CrashGuard({ clock: new SystemClock(), evidence, isPlannedEnd: () => isPlannedEnd });
    });

    const run = (result: CallResult, change: Partial<CallRequest> = {}, runsOn = instance) =>
        guard.run(sampleRequest("r", { fingerprint: "f", ...change }), runsOn, () => Promise.resolve(result));

    test("reports a request that runs when the backend server crashes, with the crashes known before", async () => {
        expect(await run(ended)).toMatchObject({
            crashReport: { fingerprint: "f", crashes: [{ backend: "i-1/1", backendVersion: "v1", rank: 1 }] },
        });
        expect(await run(ended, { crashRank: 4 }, { ...instance, bornMs: 2 })).toMatchObject({
            crashReport: { crashes: [{ backend: "i-1/2", rank: 5 }] },
        });
    });

    // Guards against refusing requests that ran when a backend server was stopped on purpose, or broke one response off.
    test("reports nothing if the backend server was draining or replaced, or only the connection broke", async () => {
        await run(ended, {}, { ...instance, drainingSinceMs: 5 });
        await run({ kind: "unknown", reason: "broken" });
        await run({ kind: "unknown", reason: "timed-out" });
        await run(unreachable);
        await run(cancelled);
        await run(cancelled, {}, { ...instance, drainingSinceMs: 5 });
        await run(unreachable, {}, { ...instance, drainingSinceMs: 5 });
        isPlannedEnd = true;
        await run(ended);
        await run(unreachable);
        expect(evidence.size).toBe(0);
    });

    // Guards against a request that crashes backend servers and is never refused, since its caller leaves before.
    test.each([
        ["another request breaks", ended],
        ["the backend server accepts no connections", unreachable],
    ])("reports a request whose caller left, once %s before its deadline", async (_sign, result) => {
        await run(cancelled, { fingerprint: "left", remainingMs: 60_000 });
        expect(evidence.size).toBe(0);
        await run(result, { fingerprint: undefined });
        expect(evidence.list()).toMatchObject([{ fingerprint: "left", crashes: 1 }]);
        await run(cancelled, { fingerprint: "left", remainingMs: 60_000 }, { ...instance, bornMs: 2 });
        await run(result, { fingerprint: undefined }, { ...instance, bornMs: 2 });
        expect(evidence.list()).toMatchObject([{ fingerprint: "left", crashes: 2 }]);
    });

    test("reports no request whose caller left that the backend server had completed, had to end, or ran in an earlier start", async () => {
        await run(answered, { fingerprint: "completed" });
        await run(cancelled, { fingerprint: "completed", remainingMs: 60_000 });
        await run(cancelled, { fingerprint: "expired", remainingMs: 0 });
        await run(ended, { fingerprint: undefined });
        await run(cancelled, { fingerprint: "left", remainingMs: 60_000 });
        await run({ kind: "not-run", reason: "cancelled", retryAfterMs: 0 }, { fingerprint: undefined });
        await run({ kind: "not-run", reason: "expired", retryAfterMs: 0 }, { fingerprint: undefined });
        expect(evidence.size).toBe(0);
        guard.onNewStart();
        await run(cancelled, { fingerprint: "earlier", remainingMs: 60_000 });
        guard.onNewStart();
        await run(ended, { fingerprint: undefined }, { ...instance, bornMs: 2 });
        expect(evidence.size).toBe(0);
    });

    // Guards against refusing a request that is sent so often that it runs whenever a backend server crashes.
    test("reports no request that this start of the backend server has completed before", async () => {
        await run(answered);
        expect(await run(ended)).toEqual(ended);
        guard.onNewStart();
        expect(await run(ended, {}, { ...instance, bornMs: 2 })).toMatchObject({ crashReport: { fingerprint: "f" } });
    });

    test("refuses a request that is refused, and one that only one other backend server may try", async () => {
        evidence.receive(crashes(2));
        expect(await run(answered)).toMatchObject({ kind: "not-run", reason: "crashes-backends" });
        expect(await run(answered, { isTrial: true })).toBe(answered);
        evidence.receive(crashes(3));
        expect(await run(answered, { isTrial: true })).toMatchObject({ kind: "not-run", reason: "crashes-backends" });
        expect(await run(answered, { fingerprint: "g" })).toBe(answered);
        expect(await run(answered, { fingerprint: undefined })).toBe(answered);
    });

    // Guards against refusing a request because it always ran beside the one that crashes backend servers.
    test("runs one trial at a time, beside other requests", async () => {
        const finish: ((result: CallResult) => void)[] = [];
        const start = (fingerprint: string, isTrial: boolean) =>
            guard.run(
                sampleRequest("r", { fingerprint, isTrial }),
                instance,
                () => new Promise((resolve) => finish.push(resolve)),
            );
        const first = start("f", true);
        expect(await start("g", true)).toMatchObject({ kind: "not-run", reason: "crashes-backends" });
        const beside = start("h", false);
        finish.forEach((end) => end(answered));
        expect(await Promise.all([first, beside])).toEqual([answered, answered]);
        const next = start("g", true);
        finish[2](answered);
        expect(await next).toBe(answered);
    });
});

describe("CrashGuard, with a request that fails unexpectedly,", () => {
    // Guards against a backend server that refuses all trials for good.
    test("still runs the next trial", async () => {
        const guard = new CrashGuard({
            clock: new SystemClock(),
            evidence: createCrashEvidence(),
            isPlannedEnd: () => false,
        });
        const request = sampleRequest("r", { fingerprint: "f", isTrial: true });
        const failing = guard.run(request, instance, () => Promise.reject(new Error("an invalid header")));
        await expect(failing).rejects.toThrow("an invalid header");
        expect(await guard.run(request, instance, () => Promise.resolve(answered))).toBe(answered);
    });
});

describe("CallReceiver", () => {
    // Guards against a request that was already waiting or on its way when the third backend server crashed.
    test("refuses a waiting and an arriving request at once when it becomes known that it crashes backend servers", async () => {
        const sent: string[] = [];
        const client = {
            send: (_address: string, { requestId }: CallRequest) => {
                sent.push(requestId);
                return new Promise<CallResult>(() => undefined);
            },
            closeIdle: () => undefined,
        };
        let receiver: CallReceiver | undefined = undefined;
        const evidence = createCrashEvidence({ onRefused: (...refused) => receiver?.refuseCrashing(...refused) });
        const created = createReceiver(client as unknown as BackendClient, 1, undefined, evidence);
        receiver = created;
        const callers = new AbortController();
        const receive = (id: string, fingerprint: string) =>
            created.receive(
                "node-1",
                sampleRequest(id, { fingerprint, targetRemainingMs: 60_000 }),
                callers.signal,
            );
        void receive("first", "g");
        const waiting = receive("waiting", "f");
        let isOtherSettled = false;
        void receive("other", "g").then(() => {
            isOtherSettled = true;
        });
        evidence.receive(crashes(3));
        const refused = { kind: "not-run", reason: "crashes-backends" };
        expect(await waiting).toMatchObject(refused);
        expect(await receive("arriving", "f")).toMatchObject(refused);
        // An upload is refused before its body is sent.
        expect(created.refusalOf("e1", sampleRequest("upload", { fingerprint: "f" }))).toMatchObject(refused);
        expect(created.refusalOf("e1", sampleRequest("upload", { fingerprint: "g" }))).toBeUndefined();
        expect([sent, isOtherSettled]).toEqual([["first"], false]);
        callers.abort();
    });
});
