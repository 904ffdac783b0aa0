/** The state of a rollout. A rollout that is finished or rolled back is final. */
export enum ServiceRolloutState {
    Running = "running",
    Finished = "finished",
    /** Rolled back: all requests go to the other versions again. */
    RolledBack = "taken-back",
}
