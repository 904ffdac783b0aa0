/** The requests of an account at a node: a moving average, corrected for its start. */
type QuotaDemand = {
    /** Moving average of the requests a second at `demandMs`, the time of the last request. */
    readonly demandPerSecond: number;
    readonly demandMs: number;
    /** The time of the first request. */
    readonly sinceMs: number;
};

/** Tokens for this much of a node's own demand, so that a zone without a leader is served for as long. */
const WANTED_SECONDS = 3;

/** Callers arrive at random: the demand of some seconds varies with the square root of its mean. */
const WANTED_DEVIATIONS = 3;

/** A smaller balance would often be used up by requests that arrive together. */
const MINIMUM_WANTED = 3;

/** The demand is estimated over about this time. */
const DEMAND_MS = 3_000;

/** A demand that was observed for a shorter time is not extrapolated. */
const MINIMUM_OBSERVED_MS = 500;

/** An account that the node no longer gets requests for. */
const FORGET_MS = 60_000;

/** Requests a second. Corrected for the time before the first request, which the estimate can't have seen. */
const perSecond = ({ demandMs, demandPerSecond, sinceMs }: QuotaDemand, nowMs: number): number => {
    const observedMs = Math.max(MINIMUM_OBSERVED_MS, nowMs - sinceMs);
    const decay = Math.exp(-(nowMs - demandMs) / DEMAND_MS);
    return (demandPerSecond * decay) / (1 - Math.exp(-observedMs / DEMAND_MS));
};

/** Tokens that the node wants to hold; 0 once the account is to be forgotten. */
const wanted = (balance: QuotaDemand, nowMs: number): number => {
    if (nowMs - balance.demandMs >= FORGET_MS) {
        return 0;
    }
    const expected = perSecond(balance, nowMs) * WANTED_SECONDS;
    return Math.max(MINIMUM_WANTED, Math.ceil(expected + WANTED_DEVIATIONS * Math.sqrt(expected)));
};

const count = <State extends QuotaDemand>(balance: State, nowMs: number): State => ({
    ...balance,
    demandPerSecond: balance.demandPerSecond * Math.exp(-(nowMs - balance.demandMs) / DEMAND_MS) + 1_000 / DEMAND_MS,
    demandMs: nowMs,
});

/** Estimates the demand of an account at a node and how many tokens the node should hold for it. */
export const quotaDemand = { count, wanted } as const;
