import { Clock } from "../core/Clock";
import { pause as defaultPause } from "../core/pause";

/** Access to the unanswered calls of a stopping node. */
type ActiveCalls = {
    /** Number of requests of callers and of other nodes that are not answered yet. */
    readonly active: () => number;
    /** From now on, a request starts anywhere only if it can be answered within this time. */
    readonly limitAnswers: (withinMs: number) => void;
    /** From now on, other nodes are told to send no more requests to the backend server of this host. */
    readonly withdrawBackend: () => void;
    /** From now on, new requests are refused as not run. */
    readonly refuseAll: () => void;
    readonly stopListening: () => void;
};

type FinishOptions = {
    readonly clock: Clock;
    readonly calls: ActiveCalls;
    /** Time until the process is killed, in ms. */
    readonly graceMs: number;
    readonly pause?: (delayMs: number) => Promise<void>;
};

/** Callers send requests until the platform notices the stop: the time of two of its readiness checks. */
const STOP_NOTICE_MS = 2_500;

/**
 * The backend server is withdrawn this long before new requests are refused: long enough for the other nodes to learn
 * it and for requests on their way to be served. Until then it goes on serving, since it does not stop itself.
 */
const WITHDRAW_LEAD_MS = 400;

/** New requests are refused after this fraction of the grace period at the latest; the rest is for accepted ones. */
const STOP_ACCEPT_FRACTION = 0.5;

/** The grace period begins with the signal, which a busy process receives up to this much later. */
const SIGNAL_DELAY_MS = 200;

/** Requests that are unanswered this long before the process is killed are abandoned. */
const STOP_RESERVE_MS = 400;
const STOP_CHECK_INTERVAL_MS = 50;

/** Requests that have not started this long before that are refused: time for the refusals to reach the callers. */
const ANSWER_RESERVE_MS = 300;

/**
 * Serves callers and other nodes until the platform has noticed the stop, then refuses new requests and waits for running ones.
 * Requests that can't be answered before the end of the process are refused as soon as that is known, wherever they wait.
 * Connections that were accepted before listening stopped may still deliver a request: it is refused, never started.
 * Resolves to the number of requests that were abandoned.
 */
export const finishCalls = async (options: FinishOptions): Promise<{ readonly unfinished: number; }> => {
    const { calls, clock, graceMs, pause = defaultPause } = options;
    const startedMs = clock.monotonicMs();
    const elapsedMs = (): number => clock.monotonicMs() - startedMs;
    const finishUntilMs = graceMs - STOP_RESERVE_MS;
    const acceptUntilMs = Math.min(finishUntilMs, graceMs * STOP_ACCEPT_FRACTION - SIGNAL_DELAY_MS);
    calls.limitAnswers(Math.max(0, finishUntilMs - ANSWER_RESERVE_MS));
    const waitUntilIdle = async (untilMs: number): Promise<void> => {
        while (elapsedMs() < untilMs && (elapsedMs() < STOP_NOTICE_MS || calls.active() > 0)) {
            await pause(STOP_CHECK_INTERVAL_MS);
        }
    };
    while (elapsedMs() < Math.min(STOP_NOTICE_MS, acceptUntilMs) - WITHDRAW_LEAD_MS) {
        await pause(STOP_CHECK_INTERVAL_MS);
    }
    calls.withdrawBackend();
    await waitUntilIdle(acceptUntilMs);
    calls.refuseAll();
    await waitUntilIdle(finishUntilMs);
    calls.stopListening();
    do {
        await pause(STOP_CHECK_INTERVAL_MS);
    }
    while (elapsedMs() < finishUntilMs && calls.active() > 0);
    return { unfinished: calls.active() };
};
