/** The replicated state machine. `apply` must be deterministic: it depends only on the state and the command. */
export abstract class StateMachine {
    /** Applies a committed command and returns its result. */
    public abstract apply(command: unknown): unknown;

    /** Returns the complete state as plain data. */
    public abstract takeSnapshot(): unknown;

    /** Replaces the state with that of a snapshot. Undefined restores the initial state. */
    public abstract restoreSnapshot(data: unknown): void;
}
