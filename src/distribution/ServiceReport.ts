/** How far the proxies of one zone are with one service. */
export type ServiceReport = {
    readonly zone: string;
    readonly service: string;
    /** Proxies that subscribe to the service. */
    readonly subscribers: number;
    readonly holding: readonly HoldingCount[];
    /** Proxies that stopped sending to the candidate on their own evidence. */
    readonly suppressing: number;
};

type HoldingCount = {
    readonly revision: number;
    readonly proxies: number;
};
