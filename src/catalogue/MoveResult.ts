/** How a move ended. Every move ends in one of these ways. */
export enum MoveResult {
    Finished = "finished",
    TakenBack = "taken-back",
}
