import * as z from "zod";
import { entrySchema } from "./entrySchema";
import { ServiceContent } from "./ServiceContent";

type ParsedEntry = z.infer<typeof entrySchema>;

/** A validated catalogue entry, with defaults filled in. */
export type CatalogueEntry = Readonly<Omit<ParsedEntry, "content" | "limits">> & {
    readonly content: ServiceContent;
    readonly limits: Readonly<Omit<ParsedEntry["limits"], "requestShareSteps">> & {
        readonly requestShareSteps: readonly number[];
    };
};
