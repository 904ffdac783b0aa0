import { RetryBudget } from "./RetryBudget";

/** Allows one extra attempt for every ten requests. */
const TOKENS_PER_REQUEST = 0.1;
const MAXIMUM_TOKENS = 20;

const initial: RetryBudget = { tokens: MAXIMUM_TOKENS / 2 };

const onRequest = ({ tokens }: RetryBudget): RetryBudget => ({
    tokens: Math.min(MAXIMUM_TOKENS, tokens + TOKENS_PER_REQUEST),
});

const canSpend = ({ tokens }: RetryBudget): boolean => tokens >= 1;

const spend = ({ tokens }: RetryBudget): RetryBudget => ({ tokens: tokens - 1 });

/** Limits retries and hedges to a share of the requests, so that they can't amplify an overload. */
export const retryBudgets = { initial, onRequest, canSpend, spend } as const;
