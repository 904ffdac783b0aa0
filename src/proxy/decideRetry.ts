import { Route } from "../catalogue/Route";
import { AttemptOutcome } from "./AttemptOutcome";
import { RetryBudget } from "./RetryBudget";
import { retryBudgets } from "./retryBudgets";

/** Tries for a request that certainly did not run, whatever the route allows. */
const MAXIMUM_NOT_RUN_ATTEMPTS = 3;

/** Less time than this is not worth another attempt. */
const MINIMUM_REMAINING_MS = 5;

/** What the decision depends on. */
type RetryQuestion = {
    readonly route: Route;
    readonly outcome: AttemptOutcome;
    /** Attempts made so far. */
    readonly attempts: number;
    /** The body is held and can be sent again. */
    readonly repeatableBody: boolean;
    /** The request came as a retry of an earlier hop. */
    readonly alreadyRetried: boolean;
    readonly remainingMs: number;
    readonly budget: RetryBudget;
};

const didNotRun = (outcome: AttemptOutcome): boolean =>
    outcome === AttemptOutcome.NotRun || outcome === AttemptOutcome.Unreachable;

/** Decides whether to try again: only what did not run, or what may run twice, within the budget and the deadline. */
export const decideRetry = (question: RetryQuestion): boolean => {
    const { alreadyRetried, attempts, budget, outcome, remainingMs, repeatableBody, route } = question;
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
