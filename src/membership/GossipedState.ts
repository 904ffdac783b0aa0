/** State other than the member records that members spread to all others over the links of the membership. */
export abstract class GossipedState {
    /** Returns what a neighbour may lack when a link to it opens, or undefined if there is nothing. */
    public abstract snapshot(): unknown;

    /** Takes in what a neighbour sent. Returns what was new, to be sent to the other neighbours, or undefined. */
    public abstract receive(body: unknown): unknown;
}
