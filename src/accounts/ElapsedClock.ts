import { Clock } from "../core/Clock";

/**
 * Measures elapsed time by the greater of the monotonic and the wall clock: the monotonic clock stands still while the
 * machine is suspended, and the wall clock may be stepped back. A step forward makes time pass too quickly.
 */
export class ElapsedClock {
    private anchor: { readonly monotonicMs: number; readonly wallMs: number; readonly elapsedMs: number; };
    private lastMs = 0;

    public constructor(private readonly clock: Clock) {
        this.anchor = { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs(), elapsedMs: 0 };
    }

    /** Milliseconds since the clock was created. */
    public nowMs(): number {
        const monotonicMs = this.clock.monotonicMs();
        const wallMs = this.clock.wallMs();
        const byMonotonic = monotonicMs - this.anchor.monotonicMs;
        const byWall = wallMs - this.anchor.wallMs;
        this.lastMs = Math.max(this.lastMs, this.anchor.elapsedMs + Math.max(byMonotonic, byWall));
        if (byWall < byMonotonic) {
            // Without a new anchor, a wall clock that was stepped back would hide a later suspension.
            this.anchor = { monotonicMs, wallMs, elapsedMs: this.lastMs };
        }
        return this.lastMs;
    }
}
