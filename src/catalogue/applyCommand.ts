import { digestOf } from "../core/digestOf";
import { CatalogueAnswer } from "./CatalogueAnswer";
import { CatalogueCommand } from "./CatalogueCommand";
import { CatalogueState } from "./CatalogueState";
import { endRollout } from "./endRollout";
import { EntryRecord } from "./EntryRecord";
import { Rollout } from "./Rollout";
import { RolloutResult } from "./RolloutResult";
import { ServiceContent } from "./ServiceContent";
import { VersionedContent } from "./VersionedContent";

/** Answers are kept for a day, so that a command resent within that time takes effect once. */
const ANSWER_RETENTION_MS = 86_400_000;
const MAXIMUM_ANSWERS = 20_000;

type CommandResult = {
    readonly state: CatalogueState;
    readonly answer: CatalogueAnswer;
};

type ApplyCommand = CatalogueCommand & { readonly kind: "apply"; };
type RollBackCommand = CatalogueCommand & { readonly kind: "take-back"; };
type RolloutCommand = CatalogueCommand & { readonly kind: "advance-move" | "mark-move" | "finish-move"; };

/** Removes the contents that no record refers to. */
const keepReferenced = (
    records: ReadonlyMap<string, EntryRecord>,
    contents: ReadonlyMap<string, ServiceContent>,
): ReadonlyMap<string, ServiceContent> => {
    const referenced = new Set<string>();
    for (const { candidate, previous, stable } of records.values()) {
        [stable, previous, candidate].forEach((content) => content && referenced.add(content.digest));
    }
    return new Map([...contents].filter(([digest]) => referenced.has(digest)));
};

/** Stores a record. If the change is distributed to proxies, the catalogue and the record get the next revision. */
const putRecord = (
    state: CatalogueState,
    record: EntryRecord,
    distributed: boolean,
    content?: ServiceContent,
): CatalogueState => {
    const revision = distributed ? state.revision + 1 : state.revision;
    const stored = distributed ? { ...record, revision } : record;
    const records = new Map(state.records).set(record.service, stored);
    const contents = content ? new Map(state.contents).set(digestOf(content), content) : state.contents;
    return { ...state, revision, records, contents: keepReferenced(records, contents) };
};

/** A first version has no baseline and nothing to roll back to, so its rollout starts at the last step. */
const startRollout = (command: ApplyCommand, version: number, fromVersion: number): Rollout => ({
    version,
    fromVersion,
    step: fromVersion === 0 ? command.entry.limits.requestShareSteps.length - 1 : 0,
    startedAtMs: command.atMs,
    stepStartedAtMs: command.atMs,
    completeByMs: command.entry.completeBy ? Date.parse(command.entry.completeBy) : undefined,
    late: false,
    inForceAtMs: undefined,
});

/**
 * Ends the rollout of a record that a newer entry replaces. A version that was in force everywhere becomes the stable
 * version, the baseline of the new rollout; one that was not yet in force everywhere is rolled back.
 */
const supersedeRollout = (record: EntryRecord, version: number, atMs: number): EntryRecord => {
    const { candidate, move } = record;
    if (!move || !candidate) {
        return record;
    }
    if (move.inForceAtMs !== undefined) {
        const ended = endRollout(record, RolloutResult.Finished, `in force; superseded by version ${version}`, atMs);
        return { ...ended, previous: record.stable, stable: candidate };
    }
    return endRollout(record, RolloutResult.RolledBack, `superseded by version ${version}`, atMs);
};

const applyEntry = (state: CatalogueState, command: ApplyCommand): CommandResult => {
    const { atMs, entry, expectedVersion } = command;
    const current = state.records.get(entry.service);
    const currentVersion = current?.version ?? 0;
    if (currentVersion !== expectedVersion) {
        return { state, answer: { kind: "conflict", version: currentVersion } };
    }
    const version = currentVersion + 1;
    const candidate: VersionedContent = { version, digest: digestOf(entry.content) };
    const superseded = current ? supersedeRollout(current, version, atMs) : undefined;
    const record: EntryRecord = {
        service: entry.service,
        entry,
        version,
        revision: 0,
        stable: superseded?.stable,
        previous: superseded?.previous,
        candidate,
        move: startRollout(command, version, superseded?.stable?.version ?? 0),
        outcomes: superseded?.outcomes ?? [],
    };
    const next = putRecord(state, record, true, entry.content);
    return { state: next, answer: { kind: "accepted", version, revision: next.revision } };
};

const rollBack = (state: CatalogueState, command: RollBackCommand): CommandResult => {
    const { atMs, reason, service, version } = command;
    const record = state.records.get(service);
    if (!record) {
        return { state, answer: { kind: "unknown-entry" } };
    }
    if (record.version !== version) {
        return { state, answer: { kind: "conflict", version: record.version } };
    }
    const target = record.move ? record.stable : record.previous;
    const content = target && state.contents.get(target.digest);
    if (!target || !content) {
        return { state, answer: { kind: "nothing-to-take-back" } };
    }
    const nextVersion = record.version + 1;
    const ended = endRollout(record, RolloutResult.RolledBack, reason, atMs);
    const restored: EntryRecord = {
        ...ended,
        entry: { ...record.entry, content },
        version: nextVersion,
        stable: { version: nextVersion, digest: target.digest },
        previous: undefined,
    };
    const next = putRecord(state, restored, true);
    return { state: next, answer: { kind: "accepted", version: nextVersion, revision: next.revision } };
};

const updateRollout = (state: CatalogueState, command: RolloutCommand): CommandResult => {
    const record = state.records.get(command.service);
    const move = record?.move;
    if (!record || !move || move.version !== command.version) {
        return { state, answer: { kind: "stale" } };
    }
    const { atMs } = command;
    const accept = (next: CatalogueState): CommandResult => ({
        state: next,
        answer: { kind: "accepted", version: record.version, revision: next.revision },
    });
    if (command.kind === "advance-move") {
        if (command.step !== move.step + 1) {
            return { state, answer: { kind: "stale" } };
        }
        const advanced = { ...move, step: command.step, stepStartedAtMs: atMs };
        return accept(putRecord(state, { ...record, move: advanced }, true));
    }
    if (command.kind === "mark-move") {
        const inForceAtMs = move.inForceAtMs ?? command.inForceAtMs;
        const marked = { ...move, late: command.late, inForceAtMs };
        return accept(putRecord(state, { ...record, move: marked }, false));
    }
    const ended = endRollout(record, RolloutResult.Finished, "in force everywhere and watched", atMs);
    return accept(putRecord(state, { ...ended, previous: record.stable, stable: record.candidate }, true));
};

const execute = (state: CatalogueState, command: CatalogueCommand): CommandResult => {
    switch (command.kind) {
        case "apply":
            return applyEntry(state, command);
        case "take-back":
            return rollBack(state, command);
        default:
            return updateRollout(state, command);
    }
};

const storeAnswer = (state: CatalogueState, key: string, answer: CatalogueAnswer, atMs: number): CatalogueState => {
    const kept = [...state.answers].filter(([, stored]) => stored.atMs > atMs - ANSWER_RETENTION_MS);
    const answers = new Map(kept.slice(-MAXIMUM_ANSWERS + 1)).set(key, { answer, atMs });
    return { ...state, answers };
};

/** Applies a command to the catalogue. The result depends only on the state and the command, so replicas agree. */
export const applyCommand = (state: CatalogueState, command: CatalogueCommand): CommandResult => {
    const key = "idempotencyKey" in command ? command.idempotencyKey : undefined;
    const storedAnswer = key ? state.answers.get(key) : undefined;
    if (storedAnswer) {
        return { state, answer: storedAnswer.answer };
    }
    const result = execute(state, command);
    if (!key) {
        return result;
    }
    return { ...result, state: storeAnswer(result.state, key, result.answer, command.atMs) };
};
