import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { ConfigurationMessage } from "./ConfigurationMessage";
import { LeadershipConfirmation } from "./LeadershipConfirmation";

/** Dependencies of a `LeaseGrantor`. */
type GrantorOptions = {
    readonly clock: Clock;
    readonly confirmation: LeadershipConfirmation;
    readonly isLeading: () => boolean;
    /** The version of the newest configuration that this replica has applied; 0 without one. */
    readonly version: () => number;
    readonly onAnswered: (outcome: "granted" | "unconfirmed", renewals: number) => void;
};

type WaitingRenewal = {
    readonly number: number;
    readonly send: (message: ConfigurationMessage) => void;
};

/**
 * Least time between two confirmations. A confirmation costs messages to a quorum, so with many nodes one for each
 * renewal would be most of the leader's work. It delays the answer and not the start of the lease.
 */
const CONFIRMATION_INTERVAL_MS = 100;

/** Answers nodes that renew their lease for requests with keys, once a quorum has confirmed that this replica leads. */
export class LeaseGrantor implements Disposable {
    /** The newest renewal of each node that waits for the next confirmation. */
    private readonly waiting = new Map<object, WaitingRenewal>();
    private timer: NodeJS.Timeout | undefined;
    private lastConfirmationMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: GrantorOptions) {}

    /** @param node identifies the connection of the node */
    public renew(node: object, renewal: WaitingRenewal): void {
        if (!this.options.isLeading()) {
            return;
        }
        this.waiting.set(node, renewal);
        const dueMs = this.lastConfirmationMs + CONFIRMATION_INTERVAL_MS - this.options.clock.monotonicMs();
        this.timer ??= setTimeout(() => void this.answerWaiting(), Math.max(0, dueMs));
    }

    public dispose(): void {
        clearTimeout(this.timer);
        this.waiting.clear();
    }

    private async answerWaiting(): Promise<void> {
        const { clock, confirmation, onAnswered, version } = this.options;
        const renewals = [...this.waiting.values()];
        this.waiting.clear();
        this.timer = undefined;
        this.lastConfirmationMs = clock.monotonicMs();
        if (!(await confirmation.confirm())) {
            onAnswered("unconfirmed", renewals.length);
            return;
        }
        onAnswered("granted", renewals.length);
        renewals.forEach(({ number, send }) => send({ kind: "lease", number, version: version() }));
    }
}
