import { RandomSource } from "../../core/RandomSource";
import { fileCodec } from "../../transport/fileCodec";
import { ConsensusStatus } from "../ConsensusStatus";
import { ConsensusTask } from "../ConsensusTask";
import { ConsensusTimings } from "../ConsensusTimings";
import { Membership } from "../Membership";
import { MemoryReplicaStore } from "../MemoryReplicaStore";
import { ReplicaStore } from "../ReplicaStore";
import { ReplicaTransport } from "../ReplicaTransport";
import { Role } from "../Role";
import { StateMachine } from "../StateMachine";

class SumStateMachine extends StateMachine {
    public total = 0;

    public override apply(command: unknown): unknown {
        this.total += Number(command);
        return this.total;
    }

    public override takeSnapshot(): unknown {
        return this.total;
    }

    public override restoreSnapshot(data: unknown): void {
        this.total = Number(data ?? 0);
    }
}

class DiscardingTransport extends ReplicaTransport {
    public override send(): void {}

    public override setMembership(): void {}
}

class FailingStore extends MemoryReplicaStore {
    public failing = false;

    public override saveEntries(...details: Parameters<ReplicaStore["saveEntries"]>): Promise<void> {
        return this.failing ? Promise.reject(new Error("no space left on device")) : super.saveEntries(...details);
    }
}

/** Records every snapshot that is saved. */
class RecordingStore extends MemoryReplicaStore {
    public readonly snapshots: { readonly index: number; readonly data: unknown; }[] = [];

    public override saveSnapshot(...details: Parameters<ReplicaStore["saveSnapshot"]>): Promise<void> {
        this.snapshots.push({ index: details[0].index, data: details[0].data });
        return super.saveSnapshot(...details);
    }
}

const membership: Membership = { voters: [{ id: "a", address: "" }], learners: [] };
const timings: ConsensusTimings = { electionTimeoutMs: 20, heartbeatIntervalMs: 10, quorumCheckMs: 20 };

const startTask = async (
    store: ReplicaStore,
    sum = new SumStateMachine(),
    snapshotEveryEntries = 1_000,
    taskTimings = timings,
) => {
    let resolveLeading: () => void = () => undefined;
    let resolveFailure: (error: Error) => void = () => undefined;
    const leading = new Promise<void>((resolve) => (resolveLeading = resolve));
    const failure = new Promise<Error>((resolve) => (resolveFailure = resolve));
    const task = new ConsensusTask({
        id: "a",
        firstMembership: membership,
        store,
        transport: new DiscardingTransport(),
        stateMachine: sum,
        timings: taskTimings,
        random: new RandomSource(1),
        snapshotEveryEntries,
        onChange: ({ commitIndex, role }: ConsensusStatus) =>
            role === Role.Leader && commitIndex > 0 && resolveLeading(),
        onFailure: (error) => resolveFailure(error),
    });
    await task.start();
    await leading;
    return { task, sum, failure };
};

describe("ConsensusTask", () => {
    test("starts an election after the first election timeout when there is no leader", async () => {
        // With the ordinary election timeout of an hour the test would time out without a leader.
        const shortFirstTimeout = {
            electionTimeoutMs: 3_600_000,
            firstElectionTimeoutMs: 5,
            heartbeatIntervalMs: 10,
            quorumCheckMs: 20,
        };
        const { task } = await startTask(new MemoryReplicaStore(), new SumStateMachine(), 1_000, shortFirstTimeout);
        await expect(task.propose(5)).resolves.toEqual({ kind: "applied", answer: 5 });
        await task.dispose();
    });

    test("completes a proposal once it is applied", async () => {
        const { sum, task } = await startTask(new MemoryReplicaStore());
        await expect(task.propose(5)).resolves.toEqual({ kind: "applied", answer: 5 });
        expect(sum.total).toBe(5);
        await task.dispose();
    });

    // Guards against review/6: the leader applied a command as it had it in memory, the others as they received it.
    test("applies a command as its store holds it", async () => {
        const applied: unknown[] = [];
        const machine = new SumStateMachine();
        machine.apply = (command) => applied.push(command);
        const { task } = await startTask(new MemoryReplicaStore(), machine);
        const command = { text: "Plane \ud83c", created: new Date(0), nested: new Map([["__proto__", -0]]) };
        await expect(task.propose(command)).resolves.toMatchObject({ kind: "applied" });
        await task.dispose();
        expect(applied).toEqual([fileCodec.decode(fileCodec.encode(command))]);
        expect(applied).not.toEqual([command]);
    });

    test("replays no entry twice after a snapshot that was taken while entries were applied", async () => {
        const store = new RecordingStore();
        const { task } = await startTask(store, new SumStateMachine(), 3);
        await Promise.all(Array.from({ length: 20 }, () => task.propose(1)));
        await expect(task.readBarrier()).resolves.toMatchObject({ kind: "applied" });
        await task.dispose();
        // The first entry is the new leader's empty entry; each of the others adds 1.
        expect(store.snapshots.length).toBeGreaterThan(0);
        store.snapshots.forEach(({ data, index }) => expect(data).toBe(index - 1));
        const restarted = await startTask(store, new SumStateMachine(), 3);
        await expect(restarted.task.propose(0)).resolves.toEqual({ kind: "applied", answer: 20 });
        await restarted.task.dispose();
    });

    test("fails without acknowledging a proposal that it can't store", async () => {
        const store = new FailingStore();
        const { failure, sum, task } = await startTask(store);
        store.failing = true;
        const outcome = task.propose(1);
        await expect(failure).resolves.toMatchObject({ message: "no space left on device" });
        await task.dispose();
        await expect(outcome).resolves.toMatchObject({ kind: "unknown" });
        expect(sum.total).toBe(0);
    });
});
