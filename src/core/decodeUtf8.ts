import { die } from "./die";
import { ErrorKind } from "./ErrorKind";

/** Keeps a byte order mark, which is not JSON. */
const decoder = new TextDecoder("utf-8", { fatal: true, ignoreBOM: true });

/**
 * Decodes text that must be kept as it was sent.
 * @throws FilbertdealError of kind RequestInvalid if the bytes are not UTF-8
 */
export const decodeUtf8 = (bytes: Uint8Array): string => {
    try {
        return decoder.decode(bytes);
    }
    catch {
        return die(ErrorKind.RequestInvalid, "the body is not UTF-8");
    }
};
