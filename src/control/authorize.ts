import { CatalogueEntry } from "../catalogue/CatalogueEntry";
import { die } from "../core/die";
import { ErrorKind } from "../core/ErrorKind";
import { proofsEqual } from "../transport/proofsEqual";
import { Operator } from "./Operator";

/**
 * Returns the operator with the bearer token of the `authorization` header.
 * @throws FilbertdealError of kind OperatorRejected
 */
const identify = (operators: readonly Operator[], authorization: string | undefined): Operator => {
    const token = authorization?.replace(/^Bearer /, "") ?? "";
    return operators.find((operator) => proofsEqual(operator.token, token))
        ?? die(ErrorKind.OperatorRejected, "use the administration API");
};

/**
 * Checks that the operator may change each of the given entries: the current one and the one that replaces it.
 * @throws FilbertdealError of kind OperatorRejected
 */
const checkScope = (operator: Operator, entries: readonly (CatalogueEntry | undefined)[]): void => {
    for (const entry of entries) {
        const ownerAllowed = operator.owner === "*" || operator.owner === entry?.owner;
        const classAllowed = operator.class === "*" || operator.class === entry?.class;
        if (entry && !(ownerAllowed && classAllowed)) {
            die(ErrorKind.OperatorRejected, `change entries of owner ${entry.owner} and class ${entry.class}`);
        }
    }
};

/** Identifies operators and checks which entries they may change. */
export const authorize = { identify, checkScope } as const;
