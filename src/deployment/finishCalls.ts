import { Clock } from "../core/Clock";
import { pause as pauseOfProcess } from "../core/pause";

/** The calls of a node that ends. */
type EndingCalls = {
    /** Requests of callers and of other nodes that are not answered yet. */
    readonly active: () => number;
    /** From now on requests are refused as not run. */
    readonly refuseAll: () => void;
    readonly stopListening: () => void;
};

type FinishOptions = {
    readonly clock: Clock;
    readonly calls: EndingCalls;
    /** Time until the process is killed, in ms. */
    readonly graceMs: number;
    readonly pause?: (delayMs: number) => Promise<void>;
};

/** After the stop signal, callers of this host keep coming until the platform has noticed: two of its questions. */
const STOP_NOTICE_MS = 2_500;

/** Part of the grace after which requests are refused: those before have the rest of it to end. */
const STOP_ACCEPT_SHARE = 0.5;

/** What is still under way this long before the process is killed is given up. */
const STOP_RESERVE_MS = 400;
const STOP_CHECK_MS = 50;

/**
 * Serves callers until they have noticed the stop, then takes nothing more and lets what runs come to its end.
 * Connections that were accepted before listening stopped may still bring a request: it is refused, never begun.
 */
export const finishCalls = async (options: FinishOptions): Promise<{ readonly unfinished: number; }> => {
    const { calls, clock, graceMs, pause = pauseOfProcess } = options;
    const startedMs = clock.monotonicMs();
    const elapsedMs = (): number => clock.monotonicMs() - startedMs;
    const limitMs = graceMs - STOP_RESERVE_MS;
    const acceptMs = Math.min(limitMs, graceMs * STOP_ACCEPT_SHARE);
    const untilIdle = async (untilMs: number): Promise<void> => {
        while (elapsedMs() < untilMs && (elapsedMs() < STOP_NOTICE_MS || calls.active() > 0)) {
            await pause(STOP_CHECK_MS);
        }
    };
    await untilIdle(acceptMs);
    calls.refuseAll();
    await untilIdle(limitMs);
    calls.stopListening();
    do {
        await pause(STOP_CHECK_MS);
    }
    while (elapsedMs() < limitMs && calls.active() > 0);
    return { unfinished: calls.active() };
};
