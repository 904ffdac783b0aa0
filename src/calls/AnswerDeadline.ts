import { Clock } from "../core/Clock";

/** The time by which a request must be answered, since its sender ends then. It may become known while it waits. */
export class AnswerDeadline {
    private currentMs: number | undefined;
    private listener: ((atMs: number) => void) | undefined;

    public constructor(private readonly clock: Clock) {}

    /** Time of the monotonic clock; undefined while the sender does not stop. */
    public get atMs(): number | undefined {
        return this.currentMs;
    }

    /** Applies the time that the sender has left. */
    public limitTo(withinMs: number): void {
        const atMs = this.clock.monotonicMs() + withinMs;
        if (this.currentMs === undefined || atMs < this.currentMs) {
            this.currentMs = atMs;
            this.listener?.(atMs);
        }
    }

    /** Sets the function that is called with each earlier time. */
    public onLimited(listener: (atMs: number) => void): void {
        this.listener = listener;
    }
}
