import { EventLoopTurns } from "../../core/EventLoopTurns";
import { HybridClock } from "../../core/HybridClock";
import { pause } from "../../core/pause";
import { RandomSource } from "../../core/RandomSource";
import { SystemClock } from "../../core/SystemClock";
import { turnLateness } from "../../core/turnLateness";
import { FaultProxy } from "../../emulator/FaultProxy";
import { Channel } from "../../transport/Channel";
import { parseAddressOrDefault } from "../../transport/parseAddressOrDefault";
import { PeerNetwork } from "../../transport/PeerNetwork";
import { AnswerDeadline } from "../AnswerDeadline";
import { BodyReceiver } from "../BodyReceiver";
import { CallMessage } from "../CallMessage";
import { CallReceiver } from "../CallReceiver";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { CallTask } from "../CallTask";
import { sampleRequest } from "./sampleRequest";

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.from("tile") },
};

/** The node can't know how long a request waited more exactly than this. */
const TOLERANCE_MS = 2 * turnLateness.tickIntervalMs;

const clock = new SystemClock();
const never = new AbortController().signal;

describe("requests of other nodes that a node reads late", () => {
    let disposables: { dispose: () => unknown; }[] = [];
    let started: CallRequest[] = [];
    let deadlines: AnswerDeadline[] = [];
    let answerAfterMs = 0;
    let proxy: FaultProxy;
    let address = "";
    let sender: CallTask;

    const createNode = (identity: string) => {
        const network = new PeerNetwork({
            identity,
            secret: "test",
            localHost: "127.0.0.1",
            hybridClock: new HybridClock(clock),
            random: new RandomSource(1),
        });
        const turns = new EventLoopTurns(clock);
        const receiver = {
            receive: (_from: string, request: CallRequest): Promise<CallResult> => {
                started.push(request);
                return pause(answerAfterMs).then(() => answered);
            },
            refusalOf: () => undefined,
            expectedMs: () => 10,
            remainingMs: ({ remainingMs }: CallRequest) => remainingMs,
            createAnswerDeadline: () => {
                const deadline = new AnswerDeadline(clock);
                deadlines.push(deadline);
                return deadline;
            },
            limitAnswers: () => undefined,
            loadFor: () => undefined,
        };
        const task = new CallTask({
            ownId: identity,
            network,
            clock,
            turns,
            onReceived: () => undefined,
            receiver: receiver as unknown as CallReceiver,
            bodyReceiver: new BodyReceiver({ clock, linkBytesPerMs: 12_500, limitBytes: 50_000_000 }),
            onLoad: () => undefined,
        });
        disposables.push(network, turns, task);
        return { network, task };
    };

    beforeEach(async () => {
        disposables = [];
        answerAfterMs = 0;
        started = [];
        proxy = new FaultProxy();
        disposables.push(proxy);
        proxy.forwardTo(await createNode("receiver").network.listen({ host: "127.0.0.1", port: 0 }));
        const front = await proxy.listen("127.0.0.1");
        address = `${front.host}:${front.port}`;
        sender = createNode("sender").task;
        // The link is open, and the fastest time on it is known.
        for (let count = 0; count < 10; count += 1) {
            await send("earlier", 5_000);
        }
        started = [];
        deadlines = [];
    });
    afterEach(async () => {
        for (const disposable of disposables.reverse()) {
            await disposable.dispose();
        }
    });

    const send = (requestId: string, remainingMs: number, signal = never): Promise<CallResult> =>
        sender.send("receiver", address, sampleRequest(requestId, { remainingMs }), true, signal);

    // Guards against deadlines that start anew with each node, so that requests run after their callers have left.
    test("have as much less time left as they were under way", async () => {
        proxy.pauseTowardsTarget();
        const sent = send("r1", 5_000);
        await pause(300);
        proxy.endFaults();
        expect(await sent).toMatchObject({ kind: "answered" });
        expect(started[0].remainingMs).toBeLessThanOrEqual(4_700 + TOLERANCE_MS);
        expect(started[0].targetRemainingMs).toBeLessThanOrEqual(500 - 300 + TOLERANCE_MS);
    });

    // Guards against GONE: what a request was held up by on its way counts when it is decided whether it may start.
    test("state for how long their callers may have left, with the way between the nodes", async () => {
        proxy.pauseTowardsTarget();
        const sent = send("r1", 5_000);
        await pause(300);
        proxy.endFaults();
        await sent;
        expect(started[0].unconfirmedMs).toBeGreaterThanOrEqual(300 - TOLERANCE_MS);
        expect(started[0].unconfirmedMs).toBeLessThanOrEqual(300 + 3 * TOLERANCE_MS);
    });

    // Guards against a request that starts after its sender has ended, since the way of the message about its end wasn't counted.
    test("must be answered by the time at which their sender ends, however late that was read", async () => {
        const endsAtMs = clock.monotonicMs() + 2_000;
        answerAfterMs = 600;
        const sent = send("r1", 5_000);
        await pause(100);
        proxy.pauseTowardsTarget();
        sender.limitAnswers(2_000);
        await pause(300);
        proxy.endFaults();
        await sent;
        expect(deadlines[0].atMs).toBeLessThanOrEqual(endsAtMs + 100 + TOLERANCE_MS);
    });

    // Guards against the same for a request whose time was over before it was read, by a sender too late to cancel it.
    test("do not start if their time is over", async () => {
        const results: CallMessage[] = [];
        const onMessage = (body: unknown): number => results.push(body as CallMessage);
        const { host, port } = parseAddressOrDefault(address);
        const link = createNode("late-sender").network.open(Channel.Calls, { host, port }, { onMessage });
        await link.waitUntilOpen(1_000);
        const sendOrder = (number: number): void => {
            const order = sampleRequest(`r${number}`, { remainingMs: 200 });
            link.send({ kind: "order", number, order, timing: { sentAtMs: Math.round(clock.monotonicMs()) } });
        };
        for (let number = 1; number <= 10; number += 1) {
            sendOrder(number);
            await pause(5);
        }
        proxy.pauseTowardsTarget();
        sendOrder(11);
        await pause(500);
        proxy.endFaults();
        await pause(200);
        expect(started).toHaveLength(10);
        expect(results[10]).toMatchObject({ number: 11, result: { kind: "not-run", reason: "expired" } });
    });

    // Guards against a cancellation that is handled after its request was started, though both have arrived.
    test("do not start if their cancellation has arrived with them", async () => {
        const controller = new AbortController();
        proxy.pauseTowardsTarget();
        const sent = send("r1", 5_000, controller.signal);
        await pause(50);
        controller.abort();
        await sent;
        proxy.endFaults();
        await pause(200);
        expect(started).toEqual([]);
    });
});
