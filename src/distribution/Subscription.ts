/** What a subscriber wants and what it holds already, as its parent knows it. */
export type Subscription = {
    readonly services: ReadonlySet<string>;
    readonly held: ReadonlyMap<string, HeldResource>;
    /** The source revision last sent. */
    readonly sourceRevision: number;
};

type HeldResource = {
    readonly revision: number;
    readonly digests: readonly string[];
};
