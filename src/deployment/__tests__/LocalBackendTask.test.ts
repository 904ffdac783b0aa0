import { CallReceiver } from "../../calls/CallReceiver";
import { LocalInstance } from "../../calls/LocalInstance";
import { EventLog } from "../../core/EventLog";
import { SystemClock } from "../../core/SystemClock";
import { EndpointState } from "../../membership/EndpointState";
import { MemberRecord } from "../../membership/MemberRecord";
import { membershipChanges } from "../../membership/membershipChanges";
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

/** A task whose node was just started, and what it made of what it heard. */
const createTask = () => {
    let members = membershipChanges.create(own, 0);
    const receiver: { present: LocalInstance | undefined; } = { present: undefined };
    const membership = {
        get present() {
            return members;
        },
        changeOwn: (change: Partial<MemberRecord>) => {
            members = membershipChanges.changeOwn(members, change, 0).state;
        },
    };
    const follow = (next: LocalInstance | undefined): void => {
        receiver.present = next;
    };
    const task = new LocalBackendTask({
        clock: new SystemClock(),
        log: { info: () => undefined } as unknown as EventLog,
        receiver: Object.assign(receiver, { follow }) as unknown as CallReceiver,
        membership: membership as unknown as MembershipTask,
    });
    return { task, receiver, toldState: () => membershipChanges.own(members).endpoints[0]?.state };
};

describe("the backend server beside a node that was just started", () => {
    test("is told as ready once it says so", () => {
        const { receiver, task, toldState } = createTask();
        task.announce(announcement);
        expect(toldState()).toBe(EndpointState.Ready);
        expect(receiver.present?.leavingSinceMs).toBeUndefined();
    });

    test("leaves if it said so before it was announced, whatever it says later", () => {
        const { receiver, task, toldState } = createTask();
        const before = performance.now();
        task.leave("i-1", 1_000);
        const after = performance.now();
        task.announce(announcement);
        expect(toldState()).toBe(EndpointState.Draining);
        expect(receiver.present?.leavingSinceMs).toBeGreaterThanOrEqual(before);
        expect(receiver.present?.leavingSinceMs).toBeLessThanOrEqual(after);
        task.announce({ ...announcement, sequence: 21 });
        expect(receiver.present?.leavingSinceMs).toBeLessThanOrEqual(after);
    });

    test("is back with a new start", () => {
        const { task, toldState } = createTask();
        task.leave("i-1", 1_000);
        task.announce({ ...announcement, bornMs: 2_000, sequence: 1 });
        expect(toldState()).toBe(EndpointState.Ready);
    });
});
