/** That a start of a backend server leaves, heard before anything else was heard of that start. */
export type Departure = {
    readonly id: string;
    /** Unix time of the start in ms; 0 if it was not named. */
    readonly bornMs: number;
    /** On the node's steady clock. */
    readonly sinceMs: number;
};
