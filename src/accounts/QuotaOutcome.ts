/** The decision on a request of an account with a quota, as a label of a metric and the reason of a refusal. */
export type QuotaOutcome = "token" | "credit" | "over-quota" | "no-tokens";
