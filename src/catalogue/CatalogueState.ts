import { ApplyAnswer } from "./ApplyAnswer";
import { EntryRecord } from "./EntryRecord";
import { ServiceContent } from "./ServiceContent";

/** The replicated state of the catalogue. */
export type CatalogueState = {
    /** Rises with every change that proxies must learn of. */
    readonly revision: number;
    readonly records: ReadonlyMap<string, EntryRecord>;
    /** Contents by digest: all that any record refers to. */
    readonly contents: ReadonlyMap<string, ServiceContent>;
    /** Answers by idempotency key, oldest first. */
    readonly answers: ReadonlyMap<string, StoredAnswer>;
};

type StoredAnswer = {
    readonly answer: ApplyAnswer;
    readonly atMs: number;
};
