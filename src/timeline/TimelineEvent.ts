/** One line of a process's event log. */
export type TimelineEvent = {
    /** Hybrid logical clock timestamp. Sorting timestamps as text gives a causal order. */
    readonly at: string;
    /** The name of the process that logged the event. */
    readonly process: string;
    readonly event: string;
    /** All other fields of the log line. */
    readonly fields: ReadonlyMap<string, string>;
};
