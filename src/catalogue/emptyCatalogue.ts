import { CatalogueState } from "./CatalogueState";

/** The state of the catalogue before the first command. */
export const emptyCatalogue: CatalogueState = {
    revision: 0,
    records: new Map(),
    contents: new Map(),
    answers: new Map(),
};
