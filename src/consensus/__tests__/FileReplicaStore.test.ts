import { mkdtemp, readFile, rm, truncate, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ErrorKind } from "../../core/ErrorKind";
import { FileReplicaStore } from "../FileReplicaStore";
import { LogEntry } from "../LogEntry";
import { Membership } from "../Membership";

const membership: Membership = { voters: [{ id: "a", address: "127.0.0.1:1" }], learners: [] };

const entry = (index: number, term = 1): LogEntry => ({
    index,
    term,
    payload: { kind: "command", command: `c${index}` },
});

describe("FileReplicaStore", () => {
    let folder = "";

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "filbertdeal-store-"));
    });

    afterEach(() => rm(folder, { recursive: true, force: true }));

    const logPath = (): string => join(folder, "log.bin");

    const withStore = async (work: (store: FileReplicaStore) => Promise<void>): Promise<void> => {
        const store = new FileReplicaStore(folder);
        await store.recover(membership);
        await work(store);
        await store.dispose();
    };

    const recover = async () => {
        const store = new FileReplicaStore(folder);
        try {
            return await store.recover(membership);
        }
        finally {
            await store.dispose();
        }
    };

    const writeThreeEntries = (): Promise<void> =>
        withStore(async (store) => {
            await store.saveVote(3, "a");
            await store.saveEntries(1, [entry(1)]);
            await store.saveEntries(2, [entry(2), entry(3)]);
        });

    test("recovers the vote and the entries", async () => {
        await writeThreeEntries();
        const { log, term, votedFor } = await recover();
        expect({ term, votedFor }).toEqual({ term: 3, votedFor: "a" });
        expect(log.entries).toEqual([entry(1), entry(2), entry(3)]);
    });

    test("replaces entries that a new leader overwrote", async () => {
        await writeThreeEntries();
        await withStore((store) => store.saveEntries(2, [entry(2, 4)]));
        expect((await recover()).log.entries).toEqual([entry(1), entry(2, 4)]);
    });

    test("loses only the last record when it is truncated at any byte", async () => {
        await writeThreeEntries();
        const completeLog = await readFile(logPath());
        await withStore((store) => store.saveEntries(4, [entry(4)]));
        const longerLog = await readFile(logPath());
        for (let length = completeLog.length; length < longerLog.length; length += 1) {
            await writeFile(logPath(), longerLog.subarray(0, length));
            expect((await recover()).log.entries).toEqual([entry(1), entry(2), entry(3)]);
        }
    });

    test("appends new entries after an incomplete last record was dropped", async () => {
        await writeThreeEntries();
        const { length } = await readFile(logPath());
        await truncate(logPath(), length - 3);
        await withStore((store) => store.saveEntries(2, [entry(2, 5)]));
        expect((await recover()).log.entries).toEqual([entry(1), entry(2, 5)]);
    });

    test("rejects a log that is damaged anywhere before its last record", async () => {
        await writeThreeEntries();
        await withStore((store) => store.saveEntries(4, [entry(4)]));
        const intactLog = await readFile(logPath());
        const lastRecordOffset = intactLog.length - (await lengthOfLastRecord(intactLog));
        for (let position = 0; position < lastRecordOffset; position += 7) {
            const damagedLog = Buffer.from(intactLog);
            damagedLog[position] ^= 0x40;
            await writeFile(logPath(), damagedLog);
            await expect(recover()).rejects.toMatchObject({ kind: ErrorKind.LogCorrupt });
        }
    });

    test("rejects a damaged snapshot", async () => {
        await writeThreeEntries();
        await withStore((store) =>
            store.saveSnapshot({ index: 2, term: 1, membership, data: { state: 1 } }, [entry(3)])
        );
        const path = join(folder, "snapshot.bin");
        const snapshot = await readFile(path);
        snapshot[snapshot.length - 1] ^= 1;
        await writeFile(path, snapshot);
        await expect(recover()).rejects.toMatchObject({ kind: ErrorKind.LogCorrupt });
    });

    test("recovers a snapshot and the entries after it", async () => {
        await writeThreeEntries();
        await withStore((store) =>
            store.saveSnapshot({ index: 2, term: 1, membership, data: { state: 1 } }, [entry(3)])
        );
        const { log, snapshotData, term } = await recover();
        expect(log).toMatchObject({ snapshotIndex: 2, snapshotTerm: 1, entries: [entry(3)] });
        expect({ snapshotData, term }).toEqual({ snapshotData: { state: 1 }, term: 3 });
    });

    test("drops entries that contradict a snapshot if the log was not replaced before a crash", async () => {
        await writeThreeEntries();
        const oldLog = await readFile(logPath());
        await withStore((store) => store.saveSnapshot({ index: 2, term: 7, membership, data: {} }, []));
        // A crash between the two file replacements leaves the old log beside the new snapshot.
        await writeFile(logPath(), oldLog);
        expect((await recover()).log).toMatchObject({ snapshotIndex: 2, snapshotTerm: 7, entries: [] });
    });

    test("names the remedy when the disk fails", async () => {
        await writeFile(join(folder, "file"), "");
        const store = new FileReplicaStore(join(folder, "file"));
        await expect(store.recover(membership)).rejects.toThrow(/Free or replace the disk/);
    });
});

const lengthOfLastRecord = async (bytes: Buffer): Promise<number> => {
    const headerBytes = 16;
    let offset = 0;
    for (;;) {
        const length = headerBytes + bytes.readUInt32BE(offset);
        if (offset + length >= bytes.length) {
            return length;
        }
        offset += length;
    }
};
