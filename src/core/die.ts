import { format } from "node:util";
import { ErrorKind } from "./ErrorKind";
import { errorMessages } from "./errorMessages";
import { FilbertdealError } from "./FilbertdealError";

/**
 * Throws a FilbertdealError with the message of its kind.
 * @param details the values for the `%s` placeholders of the message, in order
 */
export const die = (kind: ErrorKind, ...details: readonly (string | number)[]): never => {
    throw new FilbertdealError(kind, format(errorMessages[kind], ...details.map(String)));
};
