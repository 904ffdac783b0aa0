import { digestOf } from "../core/digestOf";
import { ApplyAnswer } from "./ApplyAnswer";
import { CatalogueCommand } from "./CatalogueCommand";
import { CatalogueState } from "./CatalogueState";
import { endMove } from "./endMove";
import { EntryRecord } from "./EntryRecord";
import { Move } from "./Move";
import { MoveResult } from "./MoveResult";
import { ServiceContent } from "./ServiceContent";
import { VersionedContent } from "./VersionedContent";

const ANSWER_RETENTION_MS = 86_400_000;
const MAXIMUM_ANSWERS = 20_000;

type Result = {
    readonly state: CatalogueState;
    readonly answer: ApplyAnswer;
};

type ApplyCommand = CatalogueCommand & { readonly kind: "apply"; };
type TakeBackCommand = CatalogueCommand & { readonly kind: "take-back"; };
type MoveCommand = CatalogueCommand & { readonly kind: "advance-move" | "mark-move" | "finish-move"; };

/** Contents that no record refers to are dropped. */
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

/** Stores a record. `distributed` says that proxies must learn of the change. */
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

/** A first version has nothing to be compared with or taken back to, so its move starts at the last step. */
const startMove = (command: ApplyCommand, version: number, fromVersion: number): Move => ({
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
 * Ends a move that a newer entry overtakes. A version that was in force everywhere stays and becomes the
 * baseline of the new move; one that was still spreading is taken back.
 */
const supersede = (record: EntryRecord, version: number, atMs: number): EntryRecord => {
    const { candidate, move } = record;
    if (!move || !candidate) {
        return record;
    }
    if (move.inForceAtMs !== undefined) {
        const ended = endMove(record, MoveResult.Finished, `in force; superseded by version ${version}`, atMs);
        return { ...ended, previous: record.stable, stable: candidate };
    }
    return endMove(record, MoveResult.TakenBack, `superseded by version ${version}`, atMs);
};

const applyEntry = (state: CatalogueState, command: ApplyCommand): Result => {
    const { atMs, entry, expectedVersion } = command;
    const present = state.records.get(entry.service);
    const presentVersion = present?.version ?? 0;
    if (presentVersion !== expectedVersion) {
        return { state, answer: { kind: "conflict", version: presentVersion } };
    }
    const version = presentVersion + 1;
    const candidate: VersionedContent = { version, digest: digestOf(entry.content) };
    const before = present ? supersede(present, version, atMs) : undefined;
    const record: EntryRecord = {
        service: entry.service,
        entry,
        version,
        revision: 0,
        stable: before?.stable,
        previous: before?.previous,
        candidate,
        move: startMove(command, version, before?.stable?.version ?? 0),
        outcomes: before?.outcomes ?? [],
    };
    const next = putRecord(state, record, true, entry.content);
    return { state: next, answer: { kind: "accepted", version, revision: next.revision } };
};

const takeBack = (state: CatalogueState, command: TakeBackCommand): Result => {
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
    const ended = endMove(record, MoveResult.TakenBack, reason, atMs);
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

const changeMove = (state: CatalogueState, command: MoveCommand): Result => {
    const record = state.records.get(command.service);
    const move = record?.move;
    if (!record || !move || move.version !== command.version) {
        return { state, answer: { kind: "stale" } };
    }
    const { atMs } = command;
    const accept = (next: CatalogueState): Result => ({
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
    const ended = endMove(record, MoveResult.Finished, "in force everywhere and watched", atMs);
    return accept(putRecord(state, { ...ended, previous: record.stable, stable: record.candidate }, true));
};

const execute = (state: CatalogueState, command: CatalogueCommand): Result => {
    switch (command.kind) {
        case "apply":
            return applyEntry(state, command);
        case "take-back":
            return takeBack(state, command);
        default:
            return changeMove(state, command);
    }
};

const rememberAnswer = (state: CatalogueState, key: string, answer: ApplyAnswer, atMs: number): CatalogueState => {
    const kept = [...state.answers].filter(([, stored]) => stored.atMs > atMs - ANSWER_RETENTION_MS);
    const answers = new Map(kept.slice(-MAXIMUM_ANSWERS + 1)).set(key, { answer, atMs });
    return { ...state, answers };
};

/** Applies a command to the catalogue. The same state and command give the same result on every replica. */
export const applyCommand = (state: CatalogueState, command: CatalogueCommand): Result => {
    const key = "idempotencyKey" in command ? command.idempotencyKey : undefined;
    const known = key ? state.answers.get(key) : undefined;
    if (known) {
        return { state, answer: known.answer };
    }
    const result = execute(state, command);
    if (!key) {
        return result;
    }
    return { ...result, state: rememberAnswer(result.state, key, result.answer, command.atMs) };
};
