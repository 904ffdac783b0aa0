/** The gauge values of a control replica when its metrics are scraped. */
export type ControlReadings = {
    readonly isLeader: boolean;
    readonly term: number;
    /** The last log entry that is known to be stored by a majority. */
    readonly commitIndex: number;
    /** The last log entry that this replica applied. */
    readonly appliedIndex: number;
    readonly voters: number;
    /** Non-voting replicas. */
    readonly learners: number;
    /** Members of the group that stopped responding to this replica; 0 unless it leads. */
    readonly unresponsiveMembers: number;
    /** Whether a leader confirmed, since the start, that the state of this replica is not that of an old disk. */
    readonly isStateConfirmed: boolean;
    /** Processes of the mesh that are not known to have failed or left. */
    readonly members: number;
    /** 0 before the first configuration. */
    readonly configurationVersion: number;
    readonly runningRollouts: number;
    readonly evacuatedZones: number;
    /** Requests, by content, that are refused since backend servers crashed under them. */
    readonly refusedRequests: number;
    /** Tokens for requests of accounts with a quota that this replica granted since its start. */
    readonly grantedTokens: number;
    /** Accounts with demand and no token left; 0 unless this replica leads. */
    readonly exhaustedAccounts: number;
};
