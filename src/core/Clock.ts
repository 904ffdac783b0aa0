/** The source of time for tasks. Decisions receive the value, never the clock. */
export abstract class Clock {
    /** Milliseconds that never go backwards. The origin is arbitrary. */
    public abstract monotonicMs(): number;

    /** Milliseconds since the Unix epoch. */
    public abstract wallMs(): number;
}
