import { format } from "node:util";
import { ErrorKind } from "./ErrorKind";
import { errorMessages } from "./errorMessages";
import { FilbertdealError } from "./FilbertdealError";

/**
 * Throws the error of the given kind.
 * @param kind which error
 * @param details fill the `%s` places of the kind's message, in order
 */
export const die = (kind: ErrorKind, ...details: readonly (string | number)[]): never => {
    throw new FilbertdealError(kind, format(errorMessages[kind], ...details.map(String)));
};
