import { FileHandle, mkdir, open } from "node:fs/promises";
import { join } from "node:path";
import { die } from "../core/die";
import { durableFiles } from "../core/durableFiles";
import { ErrorKind } from "../core/ErrorKind";
import { FilbertdealError } from "../core/FilbertdealError";
import { LogEntry } from "./LogEntry";
import { logOperations } from "./logOperations";
import { Membership } from "./Membership";
import { recordFormat } from "./recordFormat";
import { ReplicaStore } from "./ReplicaStore";
import { ReplicatedLog } from "./ReplicatedLog";
import { StoredReplica } from "./StoredReplica";
import { StoreRecord } from "./StoreRecord";

const LOG_FILE = "log.bin";
const SNAPSHOT_FILE = "snapshot.bin";

type SnapshotRecord = StoreRecord & { readonly kind: "snapshot"; };

/** The content of the log file, not yet merged with the snapshot. */
type RecoveredLog = {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly entries: readonly LogEntry[];
    readonly validBytes: number;
};

/**
 * Stores a replica's state in two files of one folder: an append-only log of checksummed records and the latest
 * snapshot. A file is replaced by writing a new one, syncing it and renaming it.
 */
export class FileReplicaStore extends ReplicaStore {
    private logFile: FileHandle | undefined;
    private vote: StoreRecord & { readonly kind: "vote"; } = { kind: "vote", term: 0 };

    public constructor(private readonly folder: string) {
        super();
    }

    /** @throws FilbertdealError of kind LogCorrupt or DiskFailed */
    public override recover(firstMembership: Membership): Promise<StoredReplica> {
        return this.withDiskErrors(async () => {
            await mkdir(this.folder, { recursive: true });
            const snapshot = await this.readSnapshot();
            const recovered = await this.readLog();
            await this.openLog(recovered.validBytes);
            this.vote = { kind: "vote", term: recovered.term, votedFor: recovered.votedFor };
            const log = this.mergeLogWithSnapshot(recovered.entries, snapshot, firstMembership);
            return {
                term: recovered.term,
                votedFor: recovered.votedFor,
                log,
                snapshotData: snapshot?.data,
            };
        });
    }

    public override saveVote(term: number, votedFor: string | undefined): Promise<void> {
        this.vote = { kind: "vote", term, votedFor };
        return this.appendRecord(this.vote);
    }

    public override saveEntries(fromIndex: number, entries: readonly LogEntry[]): Promise<void> {
        return this.appendRecord({ kind: "entries", fromIndex, entries });
    }

    public override saveSnapshot(
        { data, index, membership, term }: Parameters<ReplicaStore["saveSnapshot"]>[0],
        remainingEntries: readonly LogEntry[],
    ): Promise<void> {
        const snapshot: SnapshotRecord = { kind: "snapshot", index, term, membership, data };
        return this.withDiskErrors(async () => {
            await this.replaceFile(SNAPSHOT_FILE, [snapshot]);
            await this.logFile?.close();
            this.logFile = undefined;
            await this.replaceFile(LOG_FILE, [this.vote, {
                kind: "entries",
                fromIndex: index + 1,
                entries: remainingEntries,
            }]);
            this.logFile = await open(this.path(LOG_FILE), "a");
        });
    }

    public override async dispose(): Promise<void> {
        await this.logFile?.close();
        this.logFile = undefined;
    }

    private path(name: string): string {
        return join(this.folder, name);
    }

    private appendRecord(record: StoreRecord): Promise<void> {
        return this.withDiskErrors(async () => {
            const file = this.logFile ?? die(ErrorKind.DiskFailed, this.folder, "the log is not open");
            await file.appendFile(recordFormat.encode(record));
            await file.datasync();
        });
    }

    private async readSnapshot(): Promise<SnapshotRecord | undefined> {
        const bytes = await durableFiles.readIfPresent(this.path(SNAPSHOT_FILE));
        if (!bytes) {
            return undefined;
        }
        const outcome = recordFormat.read(bytes, 0);
        if (outcome.kind !== "record" || outcome.record.kind !== "snapshot") {
            return die(ErrorKind.LogCorrupt, this.path(SNAPSHOT_FILE), 0);
        }
        return outcome.record;
    }

    private async readLog(): Promise<RecoveredLog> {
        const bytes = (await durableFiles.readIfPresent(this.path(LOG_FILE))) ?? Buffer.alloc(0);
        let recovered: RecoveredLog = { term: 0, votedFor: undefined, entries: [], validBytes: 0 };
        for (;;) {
            const outcome = recordFormat.read(bytes, recovered.validBytes);
            if (outcome.kind === "corrupt") {
                die(ErrorKind.LogCorrupt, this.path(LOG_FILE), recovered.validBytes);
            }
            if (outcome.kind !== "record") {
                return recovered;
            }
            recovered = this.replay(recovered, outcome.record, outcome.nextOffset);
        }
    }

    private replay(recovered: RecoveredLog, record: StoreRecord, validBytes: number): RecoveredLog {
        if (record.kind === "vote") {
            return { ...recovered, term: record.term, votedFor: record.votedFor, validBytes };
        }
        if (record.kind === "entries") {
            const kept = recovered.entries.filter(({ index }) => index < record.fromIndex);
            return { ...recovered, entries: [...kept, ...record.entries], validBytes };
        }
        return die(ErrorKind.LogCorrupt, this.path(LOG_FILE), recovered.validBytes);
    }

    /** Entries after the snapshot are kept only if the log is consistent with the snapshot at its index. */
    private mergeLogWithSnapshot(
        entries: readonly LogEntry[],
        snapshot: SnapshotRecord | undefined,
        firstMembership: Membership,
    ): ReplicatedLog {
        const index = snapshot?.index ?? 0;
        const term = snapshot?.term ?? 0;
        const entryAtSnapshot = entries.find((entry) => entry.index === index);
        const startsAfterSnapshot = entries.length > 0 && entries[0].index === index + 1;
        const isConsistent = startsAfterSnapshot || entryAtSnapshot?.term === term;
        const log: ReplicatedLog = {
            snapshotIndex: index,
            snapshotTerm: term,
            snapshotMembership: snapshot?.membership ?? firstMembership,
            entries: [],
        };
        return isConsistent ? logOperations.append(log, entries.filter((entry) => entry.index > index)) : log;
    }

    private async openLog(validBytes: number): Promise<void> {
        this.logFile = await open(this.path(LOG_FILE), "a");
        // Truncates an incomplete last record, so that new records don't follow damaged bytes.
        await this.logFile.truncate(validBytes);
        await this.logFile.sync();
        await durableFiles.syncFolder(this.folder);
    }

    private replaceFile(name: string, records: readonly StoreRecord[]): Promise<void> {
        return durableFiles.replace(this.path(name), Buffer.concat(records.map(recordFormat.encode)));
    }

    /** Converts errors of file operations to errors of kind DiskFailed. */
    private async withDiskErrors<Result>(work: () => Promise<Result>): Promise<Result> {
        try {
            return await work();
        }
        catch (error) {
            if (error instanceof FilbertdealError) {
                throw error;
            }
            return die(ErrorKind.DiskFailed, this.folder, (error as Error).message);
        }
    }
}
