/** Where a move stands. The last two are final. */
export enum ServiceMoveState {
    Running = "running",
    Finished = "finished",
    TakenBack = "taken-back",
}
