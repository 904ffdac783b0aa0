/** A version of an entry, with the digest of its content. */
export type VersionedContent = {
    readonly version: number;
    readonly digest: string;
};
