import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { countLosses } from "../countLosses";
import { formatLosses } from "../formatLosses";
import { readTimeline } from "../readTimeline";

const line = (second: number, event: string, fields = ""): string =>
    `at=2026-12-04T10:00:0${second}.250Z-0000 level=info process=node-1 event=${event} ${fields}`;

const lines = [
    line(1, "request-refused", "request=r-1 route=reads status=503 reason=no-room"),
    line(1, "request-refused", "request=r-2 route=reads status=503 reason=no-room"),
    line(1, "request-late", "request=r-3 route=reads status=200 lateMs=20"),
    line(2, "request-failed", "request=r-4 route=writes status=500"),
    line(2, "lines-left-out", "name=request-refused lines=7"),
    line(2, "lines-left-out", "name=attempt-failed lines=9"),
    line(2, "node-started"),
    "Segmentation fault",
    "0x7f3a at 12",
];

describe("countLosses", () => {
    let folder = "";
    let skippedLines = 0;
    const play = async () => {
        folder = await mkdtemp(join(tmpdir(), "filbertdeal-losses-"));
        const path = join(folder, "node-1.log");
        await writeFile(path, lines.join("\n"));
        skippedLines = 0;
        return countLosses(await readTimeline([path], {}, () => (skippedLines += 1)));
    };
    afterEach(() => rm(folder, { recursive: true }));

    test("counts by second, route, outcome and reason, and the lines that the log left out", async () => {
        const rows = (await play()).map(({ outcome, reason, requests, route, second }) =>
            [second.slice(-2), route, outcome, reason, requests].join(" ")
        );
        expect(rows).toEqual([
            "01 reads late 200 1",
            "01 reads refused no-room 2",
            "02 - unlisted request-refused 7",
            "02 writes failed 500 1",
        ]);
    });

    test("counts the lines that are not events", async () => {
        await play();
        expect(skippedLines).toBe(2);
    });

    test("prints a table", async () => {
        const table = formatLosses(await play()).split("\n");
        expect(table[0]).toMatch(/^second +route +outcome +reason +requests$/);
        expect(table).toHaveLength(5);
    });
});
