import { SystemClock } from "../../core/SystemClock";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { CrashReport } from "../../crashes/CrashReport";
import { CrashRecordTask } from "../CrashRecordTask";
import { DeploymentCommand } from "../DeploymentCommand";
import { DeploymentStateMachine } from "../DeploymentStateMachine";

const reports = (count: number): readonly CrashReport[] =>
    Array.from({ length: count }, (_, index) => ({
        fingerprint: "f",
        service: "canopy-map",
        crashes: [{ backend: `i-${index}/1`, backendVersion: "v1", rank: index + 1, ageMs: 10 }],
    }));

describe("the records of refusals", () => {
    const tasks: CrashRecordTask[] = [];

    afterEach(() => Promise.all(tasks.splice(0).map((task) => task.dispose())));

    /** Creates a replica over the given state machine. */
    const createReplica = (machine: DeploymentStateMachine, role: { isLeading: boolean; }) => {
        const evidence = createCrashEvidence({ versions: ["v1"] });
        const proposed: DeploymentCommand[] = [];
        const task = new CrashRecordTask({
            clock: new SystemClock(),
            log: { infoRateLimited: () => undefined },
            evidence,
            state: () => machine.state,
            isLeading: () => role.isLeading,
            propose: (command) => {
                proposed.push(command);
                return Promise.resolve({ kind: "applied", answer: machine.apply(command) });
            },
        });
        tasks.push(task);
        return { evidence, proposed, task };
    };

    test("are proposed by the leader alone, once, and removed after a completed run", async () => {
        const machine = new DeploymentStateMachine(() => undefined);
        const { revision } = machine.state;
        const role = { isLeading: false };
        const { evidence, proposed, task } = createReplica(machine, role);
        evidence.receive(reports(2));
        await task.synchronize();
        evidence.receive(reports(3));
        await task.synchronize();
        expect(proposed).toEqual([]);
        role.isLeading = true;
        await task.synchronize();
        await task.synchronize();
        expect(proposed).toMatchObject([{ kind: "record-crashes", stored: [{ fingerprint: "f" }], removed: [] }]);
        expect(machine.state.revision).toBe(revision);
        evidence.recordCompletion("f");
        await task.synchronize();
        expect(machine.state.crashRecords.size).toBe(0);
    });

    // Guards against a replica that starts with an empty memory and, as leader, removes what the log holds.
    test("are learned from a snapshot before the leader compares them with what it knows", async () => {
        const machine = new DeploymentStateMachine(() => undefined);
        const before = createReplica(machine, { isLeading: true });
        before.evidence.receive(reports(3));
        await before.task.synchronize();
        const restarted = new DeploymentStateMachine(() => undefined);
        restarted.restoreSnapshot(machine.takeSnapshot());
        const after = createReplica(restarted, { isLeading: true });
        await after.task.synchronize();
        expect(after.evidence.verdictOf("f")).toMatchObject({ kind: "refused" });
        expect(after.proposed).toEqual([]);
        expect(restarted.state.crashRecords.size).toBe(1);
    });

    test("of a release without them are empty", () => {
        const machine = new DeploymentStateMachine(() => undefined);
        const snapshot = machine.takeSnapshot() as Record<string, unknown>;
        delete snapshot.crashRecords;
        machine.restoreSnapshot(snapshot);
        expect(machine.state.crashRecords.size).toBe(0);
    });
});
