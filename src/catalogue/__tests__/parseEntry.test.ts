import { ErrorKind } from "../../core/ErrorKind";
import { parseEntry } from "../parseEntry";
import { sampleEntry } from "./sampleEntry";

const NOW_MS = Date.parse("2026-12-03T12:00:00Z");

describe("parseEntry", () => {
    test("accepts a valid entry and fills in the defaults", () => {
        const entry = parseEntry(sampleEntry(), NOW_MS);
        expect(entry.content.admission.maximumConcurrent).toBe(64);
        expect(entry.limits.maximumProxyShare).toBe(1);
    });

    test.each([
        ["an unknown field", { ...sampleEntry(), colour: "red" }, /colour/],
        [
            "a route to an unknown pool",
            sampleEntry({ routes: [{ ...sampleEntry().content.routes[0], pool: "gone" }] }),
            /routes\.0\.pool.*no pool is named gone/,
        ],
        [
            "retries on a route that is not idempotent",
            sampleEntry({ routes: [{ ...sampleEntry().content.routes[0], idempotent: false }] }),
            /not idempotent can't retry/,
        ],
        [
            "two routes with the same name",
            sampleEntry({ routes: [sampleEntry().content.routes[0], sampleEntry().content.routes[0]] }),
            /named reads already/,
        ],
        ["steps that do not end with 1", {
            ...sampleEntry(),
            limits: { ...sampleEntry().limits, requestShareSteps: [0.1, 0.5] },
        }, /rise from step to step and end with 1/],
        ["a missing owner", { ...sampleEntry(), owner: undefined }, /owner/],
        [
            "a deadline that the steps can't meet",
            { ...sampleEntry(), completeBy: "2026-12-03T12:00:03Z" },
            /completeBy.*need until 2026-12-03T12:00:05/,
        ],
        [
            "a deadline without a time zone offset",
            { ...sampleEntry(), completeBy: "2026-12-03T13:00:00" },
            /completeBy/,
        ],
    ])("rejects an entry with %s and names the field", (_, raw, message) => {
        expect(() => parseEntry(raw, NOW_MS)).toThrow(message);
        expect(() => parseEntry(raw, NOW_MS)).toThrow(expect.objectContaining({ kind: ErrorKind.CatalogueInvalid }));
    });
});
