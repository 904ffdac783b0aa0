/** The ways in which a bad version is bad. */
export enum BadKind {
    Fails = "fails",
    FailsLater = "fails-later",
    Slow = "slow",
    OneRoute = "one-route",
    UnderLoad = "under-load",
}
