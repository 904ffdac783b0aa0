import { SystemClock } from "../../core/SystemClock";
import { BackendClient } from "../BackendClient";
import { CallOrder } from "../CallOrder";
import { CallReceiver } from "../CallReceiver";
import { CallResult } from "../CallResult";
import { sampleOrder } from "./sampleOrder";

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.alloc(0) },
};

describe("the node beside a backend server", () => {
    let sent: string[] = [];
    /** Ends the requests that the backend server works on, in the order in which they were sent. */
    let finish: ((result: CallResult) => void)[] = [];
    let receiver: CallReceiver;

    beforeEach(() => {
        sent = [];
        finish = [];
        const client = {
            send: (_address: string, { requestId }: CallOrder) => {
                sent.push(requestId);
                return new Promise<CallResult>((resolve) => finish.push(resolve));
            },
            closeIdle: () => undefined,
        };
        receiver = new CallReceiver({
            clock: new SystemClock(),
            client: client as unknown as BackendClient,
            leavingGraceMs: 60_000,
            onDecision: () => undefined,
        });
        receiver.follow({
            id: "i-1",
            service: "canopy-map",
            version: "v1",
            address: "127.0.0.1:9",
            slots: 1,
            bornMs: 1,
            sequence: 1,
            leavingSinceMs: undefined,
            warmAtMs: 0,
        });
    });

    const receive = (name: string, change: Partial<CallOrder> = {}, signal = new AbortController().signal) =>
        receiver.receive("node-1", sampleOrder(name, { targetRemainingMs: 60_000, ...change }), signal);

    test("sends no more at a time than there are slots", async () => {
        const first = receive("r1");
        const second = receive("r2");
        expect(sent).toEqual(["r1"]);
        finish[0](answered);
        expect(await first).toBe(answered);
        expect(sent).toEqual(["r1", "r2"]);
        finish[1](answered);
        await second;
    });

    test("refuses a request for another backend server as not run", async () => {
        expect(await receive("r1", { instanceId: "i-0" })).toMatchObject({ kind: "not-run", reason: "not-here" });
        expect(await receive("r1", { service: "tree-survey" })).toMatchObject({ kind: "not-run", reason: "not-here" });
        expect(sent).toEqual([]);
    });

    test("tells the one that waits in time that it can't be served, also if the backend server does nothing", async () => {
        void receive("r1");
        expect(await receive("r2", { remainingMs: 120 })).toMatchObject({ kind: "not-run", reason: "expired" });
        expect(sent).toEqual(["r1"]);
    });

    test("forgets a waiting request whose caller has left", async () => {
        const controller = new AbortController();
        const first = receive("r1");
        const second = receive("r2", {}, controller.signal);
        controller.abort();
        expect(await second).toMatchObject({ kind: "not-run", reason: "cancelled" });
        finish[0](answered);
        await first;
        expect(sent).toEqual(["r1"]);
    });

    test("tells each node the load apart from its own", () => {
        void receive("r1");
        expect(receiver.loadFor("node-1")).toMatchObject({ total: 1, yours: 1 });
        expect(receiver.loadFor("node-2")).toMatchObject({ total: 1, yours: 0 });
    });

    test("sends nothing to a backend server that said long ago that it leaves", async () => {
        const { present } = receiver;
        receiver.follow(present && { ...present, leavingSinceMs: -1e9 });
        expect(await receive("r1")).toMatchObject({ kind: "not-run", reason: "not-here" });
        expect(sent).toEqual([]);
    });
});
