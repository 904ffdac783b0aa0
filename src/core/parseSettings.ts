import * as z from "zod";
import { die } from "./die";
import { ErrorKind } from "./ErrorKind";

const flagName = (path: readonly PropertyKey[]): string =>
    `--${String(path[0]).replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

const environmentName = (path: readonly PropertyKey[]): string =>
    `FILBERTDEAL_${String(path[0]).replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;

const formatReason = (message: string): string => (message.endsWith("received undefined") ? "is missing" : message);

/**
 * Validates raw settings against a schema.
 * @throws FilbertdealError of kind SettingsInvalid that lists every invalid setting with its flag and variable
 */
export const parseSettings = <Schema extends z.ZodType>(schema: Schema, raw: unknown): z.infer<Schema> => {
    const result = schema.safeParse(raw);
    if (result.success) {
        return result.data;
    }
    const faults = result.error.issues.map(
        ({ path, message }) =>
            `  ${flagName(path)}: ${formatReason(message)}. Set ${flagName(path)} or ${environmentName(path)}`,
    );
    return die(ErrorKind.SettingsInvalid, faults.join("\n"));
};
