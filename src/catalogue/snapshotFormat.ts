import { CatalogueState } from "./CatalogueState";
import { emptyCatalogue } from "./emptyCatalogue";
import { EntryRecord } from "./EntryRecord";

/** The catalogue as data that can be written as JSON. */
type CatalogueSnapshot = {
    readonly revision: number;
    readonly records: readonly EntryRecord[];
    readonly contents: readonly (readonly [string, unknown])[];
    readonly answers: readonly (readonly [string, unknown])[];
};

const write = (state: CatalogueState): CatalogueSnapshot => ({
    revision: state.revision,
    records: [...state.records.values()],
    contents: [...state.contents],
    answers: [...state.answers],
});

const read = (data: unknown): CatalogueState => {
    if (data === undefined) {
        return emptyCatalogue;
    }
    const snapshot = data as CatalogueSnapshot;
    return {
        revision: snapshot.revision,
        records: new Map(snapshot.records.map((record) => [record.service, record])),
        contents: new Map(snapshot.contents) as CatalogueState["contents"],
        answers: new Map(snapshot.answers) as CatalogueState["answers"],
    };
};

/** Converts the catalogue to the data of a snapshot file and back. */
export const snapshotFormat = { write, read } as const;
