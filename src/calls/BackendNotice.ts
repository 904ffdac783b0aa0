/** What a backend server states about itself in the headers of a response. */
export type BackendNotice = {
    /** Requests a second that it takes from all nodes together; undefined if it states no limit. */
    readonly limitPerSecond: number | undefined;
    /** True if it is about to stop. */
    readonly isLeaving: boolean;
};
