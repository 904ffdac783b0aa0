import { createHash } from "node:crypto";

/** What a resend of a request repeats. Its id and its deadline differ. */
type RepeatedContent = {
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    /** Name of the caller's client account. */
    readonly account?: string;
};

/** 132 bits in base64. */
const FINGERPRINT_CHARACTERS = 22;

const hostOf = (headers: readonly string[]): string => {
    const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === "host");
    return index < 0 ? "" : headers[index + 1].toLowerCase();
};

/**
 * Returns a digest of what a request asks for, and of the account for which it does. It is the same for each resend at
 * any host. Nobody can construct a request with the fingerprint of another one.
 */
export const requestFingerprint = ({ account, body, headers, method, target }: RepeatedContent): string =>
    createHash("sha256")
        .update(JSON.stringify([method, hostOf(headers), target, account ?? ""]))
        .update(body)
        .digest("base64url")
        .slice(0, FINGERPRINT_CHARACTERS);
