/** What the bytes of a message between processes are for. */
export type TrafficKind =
    | "requests"
    | "responses"
    | "load-reports"
    | "gossip"
    | "configurations"
    | "statistics"
    /** Leases and quota tokens of client accounts. */
    | "accounts"
    | "other";
