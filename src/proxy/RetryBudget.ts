/** Tokens for extra attempts. Requests fill it, retries and hedges draw from it. */
export type RetryBudget = {
    readonly tokens: number;
};
