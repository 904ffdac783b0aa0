/** How many proxies of one availability zone hold which configuration of one service. */
export type ServiceReport = {
    readonly zone: string;
    readonly service: string;
    /** Proxies that subscribe to the service. */
    readonly subscribers: number;
    /** Proxies by the revision that they hold. */
    readonly holding: readonly HoldingCount[];
    /** Proxies that stopped sending requests to the candidate version because of their own analysis. */
    readonly suppressing: number;
};

type HoldingCount = {
    readonly revision: number;
    readonly proxies: number;
};
