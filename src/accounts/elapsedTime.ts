/** Both clocks of a machine, read at the same moment. */
type ClockReading = {
    readonly monotonicMs: number;
    readonly wallMs: number;
};

type ElapsedTime = {
    /** Time since an arbitrary moment, at the last reading. Never decreases. */
    readonly totalMs: number;
    readonly last: ClockReading;
    /** What the wall clock was ahead of the monotonic clock when that was last taken into account. */
    readonly offsetMs: number;
};

/**
 * Smaller changes of the offset are left for a later reading. The wall clock is read in whole ms, so without this every
 * pair of readings would count up to 1 ms more than has elapsed.
 */
const OFFSET_RESOLUTION_MS = 2;

const start = (reading: ClockReading): ElapsedTime => ({
    totalMs: 0,
    last: reading,
    offsetMs: reading.wallMs - reading.monotonicMs,
});

/**
 * Adds the time since the last reading. The monotonic clock stands still while a machine is suspended, so the advance of
 * the wall clock counts if it is greater. A wall clock that was stepped back takes nothing away.
 */
const advance = (elapsed: ElapsedTime, reading: ClockReading): ElapsedTime => {
    const monotonicMs = reading.monotonicMs - elapsed.last.monotonicMs;
    const offsetMs = reading.wallMs - reading.monotonicMs;
    const gainMs = offsetMs - elapsed.offsetMs;
    const isNoise = Math.abs(gainMs) < OFFSET_RESOLUTION_MS;
    return {
        totalMs: elapsed.totalMs + monotonicMs + (isNoise ? 0 : Math.max(0, gainMs)),
        last: reading,
        offsetMs: isNoise ? elapsed.offsetMs : offsetMs,
    };
};

/** Measures elapsed time so that neither a suspended machine nor a stepped wall clock makes it shorter. */
export const elapsedTime = { start, advance } as const;
