/** The health checks of one backend server, of which one runs at a time. */
type Schedule = {
    readonly isRunning: boolean;
    /** Consecutive checks without a usable response. */
    readonly failures: number;
    /** No check begins earlier. */
    readonly notBeforeMs: number;
};

/** After failures the checks become as rare as heartbeats, which then tell the same. */
const SHORTEST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_500;

const idle: Schedule = { isRunning: false, failures: 0, notBeforeMs: 0 };

/** @param isNeeded see `startLimits.needsCheck` */
const isDue = ({ isRunning, notBeforeMs }: Schedule, isNeeded: boolean, nowMs: number): boolean =>
    isNeeded && !isRunning && nowMs >= notBeforeMs;

const begin = (schedule: Schedule): Schedule => ({ ...schedule, isRunning: true });

const end = ({ failures }: Schedule, isUsable: boolean, nowMs: number): Schedule =>
    isUsable
        ? idle
        : {
            isRunning: false,
            failures: failures + 1,
            notBeforeMs: nowMs + Math.min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS * 2 ** failures),
        };

/** Decides when a health check may begin. */
export const healthCheckSchedule = { idle, isDue, begin, end } as const;
