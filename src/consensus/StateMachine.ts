/** What the replicated log drives. `apply` must depend only on the state and the command. */
export abstract class StateMachine {
    /** Applies a committed command and returns its answer. */
    public abstract apply(command: unknown): unknown;

    /** The whole state as plain data. */
    public abstract takeSnapshot(): unknown;

    /** Replaces the state by a snapshot's. Undefined means the state before the first command. */
    public abstract restoreSnapshot(data: unknown): void;
}
