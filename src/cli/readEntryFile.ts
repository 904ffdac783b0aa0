import { readFile } from "node:fs/promises";
import { parse } from "yaml";
import { die } from "../core/die";
import { ErrorKind } from "../core/ErrorKind";

/**
 * Reads an entry from a YAML or JSON file. The control replicas validate it later.
 * @throws FilbertdealError of kind RequestInvalid
 */
export const readEntryFile = async (path: string): Promise<Readonly<Record<string, unknown>>> => {
    try {
        const entry: unknown = parse(await readFile(path, "utf8"));
        if (typeof entry === "object" && entry && "service" in entry) {
            return entry as Readonly<Record<string, unknown>>;
        }
    }
    catch (error) {
        return die(ErrorKind.RequestInvalid, `${path} can't be read: ${(error as Error).message}`);
    }
    return die(ErrorKind.RequestInvalid, `${path} holds no entry; see docs/CATALOGUE.md for the format`);
};
