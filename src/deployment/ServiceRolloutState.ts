/** The state of a rollout. Finished and rolled-back rollouts never change again. */
export enum ServiceRolloutState {
    Running = "running",
    Finished = "finished",
    /** Rolled back: all requests go to the other versions again. */
    RolledBack = "taken-back",
}
