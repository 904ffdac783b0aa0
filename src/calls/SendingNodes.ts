/** A node counts as sending for this long after a request. */
const SENDING_MS = 2_000;

/** Counts the nodes that recently sent requests to a backend server and so share its limit. */
export class SendingNodes {
    private readonly lastSentAtMs = new Map<string, number>();

    public record(nodeId: string, nowMs: number): void {
        this.lastSentAtMs.set(nodeId, nowMs);
    }

    /** Returns the number of nodes, and forgets those that sent nothing for a while. */
    public count(nowMs: number): number {
        this.lastSentAtMs.forEach((sentAtMs, nodeId) => {
            if (nowMs - sentAtMs > SENDING_MS) {
                this.lastSentAtMs.delete(nodeId);
            }
        });
        return this.lastSentAtMs.size;
    }
}
