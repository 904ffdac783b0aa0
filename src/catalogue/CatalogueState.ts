import { CatalogueAnswer } from "./CatalogueAnswer";
import { EntryRecord } from "./EntryRecord";
import { ServiceContent } from "./ServiceContent";

/** The replicated state of the catalogue. */
export type CatalogueState = {
    /** Increases with every change that is distributed to proxies. */
    readonly revision: number;
    /** Records by service name. */
    readonly records: ReadonlyMap<string, EntryRecord>;
    /** Contents by digest; only those that a record refers to. */
    readonly contents: ReadonlyMap<string, ServiceContent>;
    /** Results of earlier commands by idempotency key, oldest first. */
    readonly answers: ReadonlyMap<string, StoredAnswer>;
};

type StoredAnswer = {
    readonly answer: CatalogueAnswer;
    /** Time of the command, in milliseconds since the Unix epoch. */
    readonly atMs: number;
};
