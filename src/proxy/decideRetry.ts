import { Route } from "../catalogue/Route";
import { AttemptOutcome } from "./AttemptOutcome";
import { RetryBudget } from "./RetryBudget";
import { retryBudgets } from "./retryBudgets";

/** Attempts for a request that certainly did not run, regardless of the route's `maximumRetries`. */
const MAXIMUM_NOT_RUN_ATTEMPTS = 3;

/** With less time than this before the deadline, no further attempt is made. */
const MINIMUM_REMAINING_MS = 5;

type RetryContext = {
    readonly route: Route;
    readonly outcome: AttemptOutcome;
    /** Attempts made so far. */
    readonly attempts: number;
    /** There is no body, or it is held in memory and can be resent. */
    readonly repeatableBody: boolean;
    /** The request arrived as a retry or hedge of an earlier hop. */
    readonly alreadyRetried: boolean;
    /** Time until the deadline. */
    readonly remainingMs: number;
    readonly budget: RetryBudget;
};

const didNotRun = (outcome: AttemptOutcome): boolean =>
    outcome === AttemptOutcome.NotRun || outcome === AttemptOutcome.Unreachable;

/**
 * Decides whether to retry a request within the budget and the deadline. A request that may have run is retried only on
 * an idempotent route.
 */
export const decideRetry = (context: RetryContext): boolean => {
    const { alreadyRetried, attempts, budget, outcome, remainingMs, repeatableBody, route } = context;
    const ended = outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.Cancelled;
    if (ended || !repeatableBody || alreadyRetried || remainingMs < MINIMUM_REMAINING_MS) {
        return false;
    }
    if (!retryBudgets.canSpend(budget)) {
        return false;
    }
    if (didNotRun(outcome)) {
        return attempts < MAXIMUM_NOT_RUN_ATTEMPTS;
    }
    return route.idempotent && attempts <= route.maximumRetries;
};
