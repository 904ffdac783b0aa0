/** How a rollout ended. Every rollout ends in one of these ways. */
export enum RolloutResult {
    Finished = "finished",
    /** Rolled back, or replaced by a newer version before it was in force everywhere. */
    RolledBack = "taken-back",
}
