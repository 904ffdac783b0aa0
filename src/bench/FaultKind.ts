/** The faults that the bench brings about. */
export enum FaultKind {
    ReplicaKill = "replica-kill",
    HerdRestart = "herd-restart",
    SourceOutage = "source-outage",
    ZonePartition = "zone-partition",
    SilentConnections = "silent-connections",
}
