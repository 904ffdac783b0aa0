/** The backend server of this host as it announced itself. */
export type LocalInstance = {
    readonly id: string;
    readonly service: string;
    readonly version: string;
    /** IP:PORT, reachable on this host only. */
    readonly address: string;
    readonly slots: number;
    /** Unix time of its start in ms; 0 if it does not say. */
    readonly bornMs: number;
    /** Rises with each announcement of one start. */
    readonly sequence: number;
    /** The node's steady clock when the instance first said that it leaves. */
    readonly leavingSinceMs: number | undefined;
    /** Ends slow start, on the node's steady clock. */
    readonly warmAtMs: number;
};
