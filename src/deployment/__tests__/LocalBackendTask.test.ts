import { CallReceiver } from "../../calls/CallReceiver";
import { LocalInstance } from "../../calls/LocalInstance";
import { EventLog } from "../../core/EventLog";
import { SystemClock } from "../../core/SystemClock";
import { DepartureTask } from "../../departures/DepartureTask";
import { EndpointState } from "../../membership/EndpointState";
import { MemberRecord } from "../../membership/MemberRecord";
import { membershipOperations } from "../../membership/membershipOperations";
import { MembershipTask } from "../../membership/MembershipTask";
import { MemberStatus } from "../../membership/MemberStatus";
import { LocalBackendTask } from "../LocalBackendTask";

const own: MemberRecord = {
    id: "node-1",
    zone: "a",
    incarnation: 1,
    sequence: 1,
    status: MemberStatus.Alive,
    peerAddress: "10.0.0.1:7",
    inboundAddress: "10.0.0.1:7",
    endpoints: [],
};

const announcement = {
    id: "i-1",
    service: "canopy-map",
    version: "v1",
    address: "10.0.0.1:9",
    slots: 4,
    bornMs: 1_000,
    sequence: 20,
    leaving: false,
    coldRemainingMs: 0,
};

/** Creates a task of a node that just started, with access to its instance and to the state that it published. */
const createTask = ({ isAnswered = true } = {}) => {
    let members = membershipOperations.create(own, 0);
    const receiver: { localInstance: LocalInstance | undefined; } = { localInstance: undefined };
    const membership = {
        get current() {
            return members;
        },
        changeOwn: (change: Partial<MemberRecord>) => {
            members = membershipOperations.changeOwn(members, change, 0).state;
        },
    };
    const updateInstance = (next: LocalInstance | undefined): void => {
        receiver.localInstance = next;
    };
    const clock = new SystemClock();
    const log = { info: () => undefined, warn: () => undefined } as unknown as EventLog;
    const departures: DepartureTask = new DepartureTask({
        clock,
        log,
        sendToNeighbours: () => new Set(),
        sendToControl: (message) => {
            if (message.kind === "record-departure") {
                departures.receiveFromControl({ kind: "departure-recorded", number: message.number });
            }
        },
        isControlConnected: () => true,
        onChange: () => task.onDepartures(),
        onDecided: () => undefined,
    });
    const task: LocalBackendTask = new LocalBackendTask({
        clock,
        log,
        receiver: Object.assign(receiver, { updateInstance }) as unknown as CallReceiver,
        membership: membership as unknown as MembershipTask,
        departures,
    });
    /** Control and a neighbour tell what they remember of this host. */
    const answer = (remembered: readonly { readonly instanceId: string; readonly bornMs: number; }[] = []): void => {
        const reports = remembered.map((start) => ({ ...start, ageMs: 500 }));
        departures.receiveFromControl({ kind: "departures", departures: reports, isComplete: true });
        const own = { reports: [], isComplete: true };
        departures.receive("node-2", { kind: "remembered", yours: [], isInformed: true, own }, () => undefined);
    };
    if (isAnswered) {
        answer();
    }
    disposables.push(departures);
    return {
        answer,
        receiver,
        task,
        publishedState: () => membershipOperations.ownRecord(members).endpoints[0]?.state,
    };
};

const disposables: DepartureTask[] = [];
afterEach(() => disposables.splice(0).forEach((departures) => departures.dispose()));

describe("the backend server of a node that just started", () => {
    test("is published as ready after its first announcement", async () => {
        const { receiver, task, publishedState } = createTask();
        await task.announce(announcement);
        expect(publishedState()).toBe(EndpointState.Ready);
        expect(receiver.localInstance?.drainingSinceMs).toBeUndefined();
    });

    test("is published as draining if it deregistered before it was announced, whatever it announces later", async () => {
        const { receiver, task, publishedState } = createTask();
        const before = performance.now();
        expect(await task.deregister("i-1", 1_000)).toBe(true);
        const after = performance.now();
        await task.announce(announcement);
        expect(publishedState()).toBe(EndpointState.Draining);
        expect(receiver.localInstance?.drainingSinceMs).toBeGreaterThanOrEqual(before);
        expect(receiver.localInstance?.drainingSinceMs).toBeLessThanOrEqual(after);
        await task.announce({ ...announcement, sequence: 21 });
        expect(receiver.localInstance?.drainingSinceMs).toBeLessThanOrEqual(after);
    });

    // Guards against a restarted node that takes a late announcement of a start that left for that of a new one.
    test("is not published as ready if it left before the node started, whatever is announced first", async () => {
        const { answer, publishedState, receiver, task } = createTask({ isAnswered: false });
        expect(await task.announce(announcement)).toBe(true);
        expect(publishedState()).toBeUndefined();
        answer([{ instanceId: "i-1", bornMs: 1_000 }]);
        expect(publishedState()).toBe(EndpointState.Draining);
        expect(receiver.localInstance?.drainingSinceMs).toBeLessThan(performance.now() - 400);
        await task.announce({ ...announcement, sequence: 21 });
        await task.announce({ ...announcement, bornMs: 900, sequence: 90 });
        expect(publishedState()).toBe(EndpointState.Draining);
    });

    test("is published as draining as soon as it is learned that it left, also after it was taken for ready", async () => {
        const { answer, publishedState, task } = createTask();
        await task.announce(announcement);
        expect(publishedState()).toBe(EndpointState.Ready);
        answer([{ instanceId: "i-1", bornMs: 1_000 }]);
        expect(publishedState()).toBe(EndpointState.Draining);
    });

    test("is published as ready if a start of the same id before it left", async () => {
        const { answer, publishedState, task } = createTask({ isAnswered: false });
        await task.announce({ ...announcement, bornMs: 2_000, sequence: 1 });
        await task.announce(announcement);
        answer([{ instanceId: "i-1", bornMs: 1_000 }]);
        expect(publishedState()).toBe(EndpointState.Ready);
    });

    test("is published as ready if it restarted after its deregistration", async () => {
        const { task, publishedState } = createTask();
        await task.deregister("i-1", 1_000);
        await task.announce({ ...announcement, bornMs: 2_000, sequence: 1 });
        expect(publishedState()).toBe(EndpointState.Ready);
    });
});
