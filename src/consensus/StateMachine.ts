/** The replicated state machine. `apply` must be deterministic: it depends only on the state and the command. */
export abstract class StateMachine {
    /** Applies a committed command and returns its result. */
    public abstract apply(command: unknown): unknown;

    /**
     * Returns a digest that is equal on all replicas that have applied the same entries, so that they can be compared.
     * The part up to a colon names its format: those of different formats, of different releases, are not compared.
     * Undefined if states are never compared.
     */
    public digest(): string | undefined {
        return undefined;
    }

    /** Returns the complete state as plain data. */
    public abstract takeSnapshot(): unknown;

    /** Replaces the state with that of a snapshot. Undefined restores the initial state. */
    public abstract restoreSnapshot(data: unknown): void;
}
