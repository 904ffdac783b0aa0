/** Where a control replica stands when its metrics are read. */
export type ControlReadings = {
    readonly isLeader: boolean;
    readonly term: number;
    /** Entries of the log that are known to be on a majority of the disks. */
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly voters: number;
    readonly learners: number;
    /** Processes of the mesh that are believed to be present. */
    readonly members: number;
    /** 0 before the first configuration. */
    readonly configurationVersion: number;
    readonly runningMoves: number;
};
