import { SystemClock } from "../../core/SystemClock";
import { BackendClient } from "../BackendClient";
import { CallReceiver } from "../CallReceiver";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { sampleRequest } from "./sampleRequest";

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.alloc(0) },
};

describe("CallReceiver", () => {
    let sent: string[] = [];
    /** Completes the requests that the backend server runs, in the order in which they were sent. */
    let finish: ((result: CallResult) => void)[] = [];
    let receiver: CallReceiver;

    beforeEach(() => {
        sent = [];
        finish = [];
        const client = {
            send: (_address: string, { requestId }: CallRequest) => {
                sent.push(requestId);
                return new Promise<CallResult>((resolve) => finish.push(resolve));
            },
            closeIdle: () => undefined,
        };
        receiver = new CallReceiver({
            clock: new SystemClock(),
            client: client as unknown as BackendClient,
            drainGraceMs: 60_000,
            onNotice: () => undefined,
            onNotServed: () => undefined,
        });
        receiver.updateInstance({
            id: "i-1",
            service: "canopy-map",
            version: "v1",
            address: "127.0.0.1:9",
            slots: 1,
            bornMs: 1,
            sequence: 1,
            drainingSinceMs: undefined,
            warmAtMs: 0,
        });
    });

    const receive = (name: string, change: Partial<CallRequest> = {}, signal = new AbortController().signal) =>
        receiver.receive("node-1", sampleRequest(name, { targetRemainingMs: 60_000, ...change }), signal);

    test("runs at most as many requests at a time as there are slots", async () => {
        const first = receive("r1");
        const second = receive("r2");
        expect(sent).toEqual(["r1"]);
        finish[0](answered);
        expect(await first).toBe(answered);
        expect(sent).toEqual(["r1", "r2"]);
        finish[1](answered);
        await second;
    });

    test("refuses a request for another backend server or service as not run", async () => {
        expect(await receive("r1", { instanceId: "i-0" })).toMatchObject({ kind: "not-run", reason: "not-here" });
        expect(await receive("r1", { service: "tree-survey" })).toMatchObject({ kind: "not-run", reason: "not-here" });
        expect(sent).toEqual([]);
    });

    test("refuses a waiting request before its deadline, also if the backend server does not respond", async () => {
        void receive("r1");
        expect(await receive("r2", { remainingMs: 120 })).toMatchObject({ kind: "not-run", reason: "expired" });
        expect(sent).toEqual(["r1"]);
    });

    test("removes a waiting request whose caller cancels it", async () => {
        const controller = new AbortController();
        const first = receive("r1");
        const second = receive("r2", {}, controller.signal);
        controller.abort();
        expect(await second).toMatchObject({ kind: "not-run", reason: "cancelled" });
        finish[0](answered);
        await first;
        expect(sent).toEqual(["r1"]);
    });

    test("reports to each node the total load and that node's share of it", () => {
        void receive("r1");
        expect(receiver.loadFor("node-1", "tiles")).toMatchObject({ total: 1, yours: 1 });
        expect(receiver.loadFor("node-2", "tiles")).toMatchObject({ total: 1, yours: 0 });
    });

    test("sends nothing to a backend server after its grace period for draining", async () => {
        const { localInstance } = receiver;
        receiver.updateInstance(localInstance && { ...localInstance, drainingSinceMs: -1e9 });
        expect(await receive("r1")).toMatchObject({ kind: "not-run", reason: "not-here" });
        expect(sent).toEqual([]);
    });
});
