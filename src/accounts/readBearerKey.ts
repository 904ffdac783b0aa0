const BEARER_PATTERN = /^bearer +(\S+) *$/i;

/** Returns the key in the value of an `Authorization` header; undefined unless it is one key with the scheme Bearer. */
export const readBearerKey = (authorization: string | undefined): string | undefined =>
    authorization === undefined ? undefined : BEARER_PATTERN.exec(authorization)?.[1];
