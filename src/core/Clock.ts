/** The source of time for tasks. Pure decision functions receive a time value instead of the clock. */
export abstract class Clock {
    /** Milliseconds that never go backwards. The origin is arbitrary. */
    public abstract monotonicMs(): number;

    /** Milliseconds since the Unix epoch. */
    public abstract wallMs(): number;
}
