/** The backend server of this host, as it announced itself. */
export type LocalInstance = {
    readonly id: string;
    readonly service: string;
    readonly version: string;
    /** IP:PORT, reachable on this host only. */
    readonly address: string;
    readonly slots: number;
    /** Unix time in ms at which it started; 0 if it does not state it. */
    readonly bornMs: number;
    /** Increases with each announcement of the same start. */
    readonly sequence: number;
    /** Time of the node's monotonic clock at which the instance first announced that it is draining. */
    readonly drainingSinceMs: number | undefined;
    /** Time of the node's monotonic clock at which its newest announcement arrived. */
    readonly announcedAtMs?: number;
    /** True if it has ended without a word: it accepts no connections and has been silent. An announcement ends that. */
    readonly isGone?: boolean;
    /** Time of the node's monotonic clock at which slow start ends. */
    readonly warmAtMs: number;
};
