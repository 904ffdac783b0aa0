import * as z from "zod";
import { die } from "../core/die";
import { ErrorKind } from "../core/ErrorKind";
import { CatalogueEntry } from "./CatalogueEntry";
import { earliestCompletionMs } from "./earliestCompletionMs";
import { entrySchema } from "./entrySchema";

const describePath = (path: readonly PropertyKey[]): string => (path.length > 0 ? path.map(String).join(".") : "entry");

const describeFaults = (error: z.ZodError): string =>
    error.issues.map(({ message, path }) => `${describePath(path)}: ${message}`).join("; ");

/**
 * Checks an entry whole. Nothing of a faulty entry is accepted.
 * @param nowMs the time against which `completeBy` is checked, in milliseconds since the Unix epoch
 * @throws FilbertdealError of kind CatalogueInvalid that names each field and the remedy
 */
export const parseEntry = (raw: unknown, nowMs: number): CatalogueEntry => {
    const result = entrySchema.safeParse(raw);
    if (!result.success) {
        return die(ErrorKind.CatalogueInvalid, describeFaults(result.error));
    }
    const entry = result.data;
    const neededMs = earliestCompletionMs(entry.limits);
    if (entry.completeBy && Date.parse(entry.completeBy) < nowMs + neededMs) {
        const earliest = new Date(nowMs + neededMs).toISOString();
        const reason = `completeBy: the steps and bake times need until ${earliest}; set a later time or fewer steps`;
        return die(ErrorKind.CatalogueInvalid, reason);
    }
    return entry;
};
