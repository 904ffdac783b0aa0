/** A version of an entry and the digest of its content. */
export type VersionedContent = {
    readonly version: number;
    readonly digest: string;
};
