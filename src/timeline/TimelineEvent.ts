/** One event of one process. */
export type TimelineEvent = {
    /** The hybrid logical clock stamp; stamps sort as text in causal order. */
    readonly at: string;
    readonly process: string;
    readonly event: string;
    readonly fields: ReadonlyMap<string, string>;
};
