import { StateMachine } from "./StateMachine";
import { StateStatement } from "./StateStatement";

/** A statement about an unchanged state is sent to each peer at this interval. */
const REPEAT_AFTER_MS = 1_000;

type SentStatement = {
    readonly index: number;
    readonly atMs: number;
};

const formatOf = ({ digest }: StateStatement): string => digest.split(":", 1)[0];

/**
 * Compares the states of replicas that have applied the same entries. They are equal unless a release applies commands
 * differently or a disk held another state, which no other check notices.
 */
export class StateComparison {
    private readonly sent = new Map<string, SentStatement>();
    private latest: StateStatement | undefined;

    public constructor(private readonly stateMachine: StateMachine) {}

    /** Returns what to state to a peer, if it is due. */
    public statementFor(peerId: string, appliedIndex: number, nowMs: number): StateStatement | undefined {
        const previous = this.sent.get(peerId);
        if (previous?.index === appliedIndex && nowMs - previous.atMs < REPEAT_AFTER_MS) {
            return undefined;
        }
        const statement = this.stateAt(appliedIndex);
        if (statement) {
            this.sent.set(peerId, { index: appliedIndex, atMs: nowMs });
        }
        return statement;
    }

    /** True if the state at the same entry is another one than stated. */
    public differs(stated: StateStatement, appliedIndex: number): boolean {
        const own = stated.index === appliedIndex ? this.stateAt(appliedIndex) : undefined;
        return own !== undefined && formatOf(own) === formatOf(stated) && own.digest !== stated.digest;
    }

    /** To be called when a snapshot has replaced the state. */
    public reset(): void {
        this.latest = undefined;
    }

    private stateAt(index: number): StateStatement | undefined {
        if (this.latest?.index !== index) {
            const digest = this.stateMachine.digest();
            this.latest = digest === undefined ? undefined : { index, digest };
        }
        return this.latest;
    }
}
