import { ConsensusInput } from "../ConsensusInput";
import { ConsensusState } from "../ConsensusState";
import { createInitialState } from "../createInitialState";
import { LogEntry } from "../LogEntry";
import { logOperations } from "../logOperations";
import { Membership } from "../Membership";
import { Role } from "../Role";
import { step } from "../step";

const membership: Membership = {
    voters: ["a", "b", "c"].map((id) => ({ id, address: id })),
    learners: [],
};

const advance = (state: ConsensusState, inputs: readonly ConsensusInput[]): ConsensusState =>
    inputs.reduce((current, input) => step(current, input).state, state);

const newReplica = (id: string): ConsensusState =>
    createInitialState({
        id,
        term: 0,
        votedFor: undefined,
        log: { snapshotIndex: 0, snapshotTerm: 0, snapshotMembership: membership, entries: [] },
    });

/** Replica a, elected in term 1 by b. */
const newLeader = (): ConsensusState =>
    advance(newReplica("a"), [
        { kind: "election-timeout" },
        { kind: "receive", from: "b", message: { kind: "pre-vote-response", term: 1, granted: true } },
        { kind: "receive", from: "b", message: { kind: "vote-response", term: 1, granted: true } },
    ]);

const quorumCheck: ConsensusInput = { kind: "quorum-check-timeout" };

describe("a quorum check", () => {
    // Guards against inc1: a leader stepped down 13 ms after its election, since no peer had responded yet.
    test("right after the election does not depose the leader", () => {
        const leader = newLeader();
        expect(leader.role).toBe(Role.Leader);
        expect(advance(leader, [quorumCheck]).role).toBe(Role.Leader);
    });

    test("deposes a leader that no quorum has responded to since the previous one", () => {
        expect(advance(newLeader(), [quorumCheck, quorumCheck]).role).toBe(Role.Follower);
    });
});

describe("a snapshot that replaces the state", () => {
    const entries = [1, 2, 3].map((index): LogEntry => ({
        index,
        term: 1,
        payload: { kind: "command", command: index },
    }));
    const appended = advance(newReplica("b"), [{
        kind: "receive",
        from: "a",
        message: {
            kind: "append-request",
            term: 1,
            previousIndex: 0,
            previousTerm: 0,
            entries,
            commitIndex: 1,
            round: 1,
        },
    }, { kind: "persisted", index: 3 }]);
    const request = {
        kind: "snapshot-request",
        term: 1,
        index: 2,
        snapshotTerm: 1,
        membership,
        round: 2,
        data: "state",
        replacesState: true,
    } as const;

    // Guards against the loss of entries that this replica has acknowledged, while its state is replaced.
    test("keeps the entries after it", () => {
        const { actions, state } = step(appended, { kind: "receive", from: "a", message: request });
        expect(state.log).toMatchObject({ snapshotIndex: 2, entries: [entries[2]] });
        expect(state).toMatchObject({ commitIndex: 2, durableIndex: 3 });
        expect(actions).toContainEqual({ kind: "install-snapshot", message: request, entries: [entries[2]] });
    });

    test("is not installed if it is older than what is committed", () => {
        const { actions, state } = step(
            { ...appended, commitIndex: 3 },
            { kind: "receive", from: "a", message: request },
        );
        expect(state.log.snapshotIndex).toBe(0);
        expect(actions.map(({ kind }) => kind)).not.toContain("install-snapshot");
    });

    test("is sent on request by the leader of the term only", () => {
        const ask = { kind: "receive", from: "b", message: { kind: "state-request", term: 1 } } as const;
        expect(step(newLeader(), ask).actions).toMatchObject([{ to: "b", message: { replacesState: true } }]);
        expect(step(appended, ask).actions).toEqual([]);
        const outdated = { ...ask, message: { ...ask.message, term: 0 } };
        expect(step(newLeader(), outdated).actions).toEqual([]);
    });
});

describe("a snapshot", () => {
    const entry = (index: number): LogEntry => ({ index, term: 1, payload: { kind: "command", command: index } });
    const append: ConsensusInput = {
        kind: "receive",
        from: "a",
        message: {
            kind: "append-request",
            term: 1,
            previousIndex: 0,
            previousTerm: 0,
            entries: [entry(1), entry(2), entry(3)],
            commitIndex: 0,
            round: 1,
        },
    };
    const lateSnapshot: ConsensusInput = {
        kind: "receive",
        from: "a",
        message: { kind: "snapshot-request", term: 1, index: 2, snapshotTerm: 1, membership, round: 1 },
    };

    // Guards against the loss of an accepted configuration: an acknowledged entry was discarded with the log.
    test("that arrives late does not discard the acknowledged entries after it", () => {
        const follower = advance(newReplica("b"), [append, lateSnapshot]);
        expect(logOperations.lastIndex(follower.log)).toBe(3);
        expect(follower.commitIndex).toBe(2);
    });

    test("replaces a log that differs from it", () => {
        const conflicting: ConsensusInput = {
            ...lateSnapshot,
            message: { kind: "snapshot-request", term: 2, index: 2, snapshotTerm: 2, membership, round: 1 },
        };
        const follower = advance(newReplica("b"), [append, conflicting]);
        expect(logOperations.lastIndex(follower.log)).toBe(2);
        expect(logOperations.lastTerm(follower.log)).toBe(2);
    });
});

describe("a restarted replica", () => {
    /** Replica b with a snapshot at index 5 of term 1 and two entries after it; it led or followed in term 1. */
    const restarted = createInitialState({
        id: "b",
        term: 1,
        votedFor: undefined,
        log: {
            snapshotIndex: 5,
            snapshotTerm: 1,
            snapshotMembership: membership,
            entries: [6, 7].map((index) => ({ index, term: 1, payload: { kind: "command", command: index } })),
        },
    });

    const heartbeat = (term: number, previousIndex: number, previousTerm: number, commitIndex: number) =>
        ({
            kind: "receive",
            from: "a",
            message: {
                kind: "append-request",
                term,
                previousIndex,
                previousTerm,
                entries: [],
                commitIndex,
                round: 1,
            },
        }) satisfies ConsensusInput;

    test("is confirmed once it holds what a leader has committed in its term", () => {
        expect(restarted.isConfirmed).toBe(false);
        expect(advance(restarted, [heartbeat(1, 7, 1, 7)])).toMatchObject({ isConfirmed: true, commitIndex: 7 });
    });

    test("is not confirmed while its log ends before the leader's commit index", () => {
        expect(advance(restarted, [heartbeat(1, 9, 1, 9)]).isConfirmed).toBe(false);
        expect(advance(restarted, [heartbeat(1, 7, 1, 9)]).isConfirmed).toBe(false);
    });

    test("is not confirmed by a leader that has committed nothing in its term", () => {
        expect(advance(restarted, [heartbeat(2, 7, 1, 5)]).isConfirmed).toBe(false);
    });
});
