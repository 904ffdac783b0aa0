/** The services that a subscriber wants and what it holds already, as recorded by its parent. */
export type Subscription = {
    readonly services: ReadonlySet<string>;
    /** Resources by service. */
    readonly held: ReadonlyMap<string, HeldResource>;
    /** The source revision that the subscriber named or that was last sent to it. */
    readonly sourceRevision: number;
};

type HeldResource = {
    readonly revision: number;
    readonly digests: readonly string[];
};
