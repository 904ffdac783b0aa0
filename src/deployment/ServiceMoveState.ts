/** The state of a move. A move that is finished or rolled back is final. */
export enum ServiceMoveState {
    Running = "running",
    Finished = "finished",
    /** Rolled back: all requests go to the other versions again. */
    RolledBack = "taken-back",
}
