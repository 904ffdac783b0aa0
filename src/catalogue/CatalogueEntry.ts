import * as z from "zod";
import { entrySchema } from "./entrySchema";
import { ServiceContent } from "./ServiceContent";

type CheckedEntry = z.infer<typeof entrySchema>;

/** A checked catalogue entry, with defaults filled in. */
export type CatalogueEntry = Readonly<Omit<CheckedEntry, "content" | "limits">> & {
    readonly content: ServiceContent;
    readonly limits: Readonly<Omit<CheckedEntry["limits"], "requestShareSteps">> & {
        readonly requestShareSteps: readonly number[];
    };
};
