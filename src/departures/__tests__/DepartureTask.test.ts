import { Clock } from "../../core/Clock";
import { DepartureMessage } from "../DepartureMessage";
import { DepartureStore } from "../DepartureStore";
import { DepartureTask } from "../DepartureTask";

class TimerClock extends Clock {
    public override monotonicMs(): number {
        return performance.now();
    }

    public override wallMs(): number {
        return 1_000_000 + performance.now();
    }
}

const clock = new TimerClock();

/** A process of a host with neighbours that respond at once, and with control if it is given a place to store. */
const createProcess = (neighbours: ReadonlyMap<string, DepartureStore>, isControlConnected = false) => {
    const sentToControl: string[] = [];
    let linked: ReadonlyMap<string, DepartureStore> = new Map();
    const outcomes: string[] = [];
    const send = (id: string, message: DepartureMessage): void =>
        linked.get(id)?.receive("node-1", message, (reply) => task.receive(id, reply, () => undefined));
    const task: DepartureTask = new DepartureTask({
        clock,
        log: { info: () => undefined, warn: () => undefined },
        sendToNeighbours: (message) => {
            [...linked.keys()].forEach((id) => send(id, message));
            return new Set(linked.keys());
        },
        sendToControl: ({ kind }) => void sentToControl.push(kind),
        isControlConnected: () => isControlConnected,
        onChange: () => undefined,
        onDecided: (outcome) => void outcomes.push(outcome),
    });
    const link = (): void => {
        linked = neighbours;
        neighbours.forEach((neighbour, id) => {
            send(id, task.greet(id));
            task.receive(id, neighbour.greet("node-1"), () => undefined);
        });
    };
    return { link, outcomes, sentToControl, task };
};

const createNeighbours = (count: number): ReadonlyMap<string, DepartureStore> =>
    new Map(Array.from({ length: count }, (_, index) => [`node-${index + 2}`, new DepartureStore(clock)]));

const start = { instanceId: "i-1", bornMs: 1_000 };

describe("a departure", () => {
    beforeEach(() => jest.useFakeTimers({ now: 50_000 }));
    afterEach(() => jest.useRealTimers());

    test("is acknowledged once neighbours store it, and at once when it is stated again", async () => {
        const { link, outcomes, task } = createProcess(createNeighbours(3));
        link();
        expect(await task.record(start)).toBe(true);
        expect(await task.record(start)).toBe(true);
        expect(outcomes).toEqual(["acknowledged"]);
        task.dispose();
    });

    // Guards against an acknowledgement that only the memory of one process stands for.
    test("is not acknowledged while nobody else can be reached, and is when a link opens", async () => {
        const { link, outcomes, task } = createProcess(createNeighbours(2));
        const refused = task.record(start);
        await jest.advanceTimersByTimeAsync(900);
        expect(await refused).toBe(false);
        const accepted = task.record(start);
        link();
        expect(await accepted).toBe(true);
        expect(outcomes).toEqual(["refused", "acknowledged"]);
        task.dispose();
    });

    test("is acknowledged by neighbours alone if control is connected and doesn't respond", async () => {
        const { link, sentToControl, task } = createProcess(createNeighbours(2), true);
        link();
        let isAcknowledged: boolean | undefined;
        void task.record(start).then((result) => (isAcknowledged = result));
        await jest.advanceTimersByTimeAsync(200);
        expect(isAcknowledged).toBeUndefined();
        await jest.advanceTimersByTimeAsync(200);
        expect(isAcknowledged).toBe(true);
        const before = sentToControl.filter((kind) => kind === "record-departure").length;
        await jest.advanceTimersByTimeAsync(2_500);
        expect(sentToControl.filter((kind) => kind === "record-departure").length).toBeGreaterThan(before);
        task.dispose();
    });

    test("is known to a second and a third process of the host, although all first neighbours are gone", async () => {
        const firstNeighbours = createNeighbours(3);
        const first = createProcess(firstNeighbours);
        first.link();
        expect(await first.task.record(start)).toBe(true);
        first.task.dispose();
        const laterNeighbours = new Map([...firstNeighbours, ["node-9", new DepartureStore(clock)] as const]);
        const second = createProcess(laterNeighbours);
        second.link();
        expect(second.task.find(start)).toBeDefined();
        second.task.dispose();
        const third = createProcess(new Map([["node-9", laterNeighbours.get("node-9") ?? new DepartureStore(clock)]]));
        third.link();
        expect(third.task.find(start)).toBeDefined();
        expect(third.task.find({ ...start, bornMs: 1_001 })).toBeUndefined();
        third.task.dispose();
    });

    test("that states no start covers all starts up to now, and no later one", async () => {
        const { link, task } = createProcess(createNeighbours(2));
        link();
        expect(await task.record({ instanceId: "i-1", bornMs: 0 })).toBe(true);
        expect(task.find({ instanceId: "i-1", bornMs: clock.wallMs() - 1 })).toBeDefined();
        expect(task.find({ instanceId: "i-1", bornMs: clock.wallMs() + 10 })).toBeUndefined();
        task.dispose();
    });
});
