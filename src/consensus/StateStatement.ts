/** What a leader states of the state machine that it has applied the log to. */
export type StateStatement = {
    /** The last applied entry. */
    readonly index: number;
    /** See `StateMachine.digest`. */
    readonly digest: string;
};
