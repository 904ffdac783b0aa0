import * as z from "zod";
import { die } from "../core/die";
import { ErrorKind } from "../core/ErrorKind";
import { CatalogueEntry } from "./CatalogueEntry";
import { entrySchema } from "./entrySchema";
import { minimumRolloutMs } from "./minimumRolloutMs";

const describePath = (path: readonly PropertyKey[]): string => (path.length > 0 ? path.map(String).join(".") : "entry");

const describeIssues = (error: z.ZodError): string =>
    error.issues.map(({ message, path }) => `${describePath(path)}: ${message}`).join("; ");

/**
 * Validates an entry. An entry with any invalid field is rejected as a whole.
 * @param nowMs the time against which `completeBy` is checked, in milliseconds since the Unix epoch
 * @throws FilbertdealError of kind CatalogueInvalid; the message lists each invalid field and how to correct it
 */
export const parseEntry = (raw: unknown, nowMs: number): CatalogueEntry => {
    const result = entrySchema.safeParse(raw);
    if (!result.success) {
        return die(ErrorKind.CatalogueInvalid, describeIssues(result.error));
    }
    const entry = result.data;
    const requiredMs = minimumRolloutMs(entry.limits);
    if (entry.completeBy && Date.parse(entry.completeBy) < nowMs + requiredMs) {
        const earliest = new Date(nowMs + requiredMs).toISOString();
        const message = `completeBy: the steps and bake times need until ${earliest}; set a later time or fewer steps`;
        return die(ErrorKind.CatalogueInvalid, message);
    }
    return entry;
};
