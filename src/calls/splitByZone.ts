import { BackendChoice } from "./BackendChoice";
import { ZonedChoices } from "./ZonedChoices";

/** Tells the backend servers of the own zone from the others. */
export const splitByZone = (choices: readonly BackendChoice[], ownZone: string): ZonedChoices => ({
    own: choices.filter(({ zone }) => zone === ownZone),
    others: choices.filter(({ zone }) => zone !== ownZone),
});
