import { ProposalOutcome } from "../consensus/ProposalOutcome";

/** Confirms with a quorum that this replica leads. All callers that wait at the same time share one confirmation. */
export class LeadershipConfirmation {
    private running: Promise<boolean> | undefined;
    private next: Promise<boolean> | undefined;

    /** @param readBarrier see `ConsensusTask.readBarrier` */
    public constructor(private readonly readBarrier: () => Promise<ProposalOutcome>) {}

    /**
     * Resolves to true if a quorum confirmed after this call that this replica leads and has applied everything that
     * was acknowledged before the call.
     */
    public confirm(): Promise<boolean> {
        // A confirmation that has started may not cover what was acknowledged since, so it is not joined.
        this.next ??= this.startNext();
        return this.next;
    }

    private async startNext(): Promise<boolean> {
        await this.running;
        const started = this.readBarrier().then(({ kind }) => kind === "applied");
        this.running = started;
        this.next = undefined;
        return started;
    }
}
