/** Token bucket for extra attempts. Each request adds a fraction of a token; each retry or hedge takes one. */
export type RetryBudget = {
    readonly tokens: number;
};
