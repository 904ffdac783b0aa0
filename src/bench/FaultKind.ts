/** The faults that the bench injects into the mesh. */
export enum FaultKind {
    /** Kills one control replica and restarts it at the end of the fault. */
    ReplicaKill = "replica-kill",
    /** Kills and restarts a third of the nodes at the same time. */
    HerdRestart = "herd-restart",
    /** Kills all control replicas, the source of the configuration, and restarts them at the end of the fault. */
    SourceOutage = "source-outage",
    /** Isolates one availability zone from the others and from the control replicas. */
    ZonePartition = "zone-partition",
    /** Permanently drops all bytes of the connections that are open. */
    SilentConnections = "silent-connections",
}
