import { ErrorKind } from "../../core/ErrorKind";
import { parseEntry } from "../parseEntry";
import { sampleEntry } from "./sampleEntry";

const NOW_MS = Date.parse("2026-12-03T12:00:00Z");

describe("an entry", () => {
    test("is accepted with defaults filled in", () => {
        const entry = parseEntry(sampleEntry(), NOW_MS);
        expect(entry.content.admission.maximumConcurrent).toBe(64);
        expect(entry.limits.maximumProxyShare).toBe(1);
    });

    test.each([
        ["an unknown field", { ...sampleEntry(), colour: "red" }, /colour/],
        [
            "a dangling route",
            sampleEntry({ routes: [{ ...sampleEntry().content.routes[0], pool: "gone" }] }),
            /routes\.0\.pool.*no pool is named gone/,
        ],
        [
            "a retry of what may not be repeated",
            sampleEntry({ routes: [{ ...sampleEntry().content.routes[0], idempotent: false }] }),
            /not idempotent can't retry/,
        ],
        [
            "two routes of one name",
            sampleEntry({ routes: [sampleEntry().content.routes[0], sampleEntry().content.routes[0]] }),
            /named reads already/,
        ],
        ["steps that do not end with all", {
            ...sampleEntry(),
            limits: { ...sampleEntry().limits, requestShareSteps: [0.1, 0.5] },
        }, /rise from step to step and end with 1/],
        ["a missing owner", { ...sampleEntry(), owner: undefined }, /owner/],
        [
            "an impossible deadline",
            { ...sampleEntry(), completeBy: "2026-12-03T12:00:03Z" },
            /completeBy.*need until 2026-12-03T12:00:05/,
        ],
        ["a time without its zone", { ...sampleEntry(), completeBy: "2026-12-03T13:00:00" }, /completeBy/],
    ])("is refused whole for %s, with its path", (_, raw, message) => {
        expect(() => parseEntry(raw, NOW_MS)).toThrow(message);
        expect(() => parseEntry(raw, NOW_MS)).toThrow(expect.objectContaining({ kind: ErrorKind.CatalogueInvalid }));
    });
});
