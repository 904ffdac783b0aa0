import { BackendChoice } from "./BackendChoice";

/** Backend servers that a request may go to, apart by whether reaching them crosses zones. */
export type ZonedChoices = {
    readonly own: readonly BackendChoice[];
    readonly others: readonly BackendChoice[];
};
