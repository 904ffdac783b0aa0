/** What neighbours tell one another directly. It isn't passed on to other members. */
export abstract class NeighbourExchange {
    /** Returns what a neighbour is told when a link to it opens. */
    public abstract greet(neighbourId: string): unknown;

    /** Handles what a neighbour sent. */
    public abstract receive(neighbourId: string, body: unknown, reply: (body: unknown) => void): void;
}
