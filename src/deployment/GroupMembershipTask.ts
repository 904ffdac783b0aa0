import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { MembershipChange } from "../consensus/MembershipChange";
import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Role } from "../consensus/Role";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { nextGroupChange } from "./nextGroupChange";

/** A replica's request to become a voter. */
type JoinMessage = {
    readonly kind: "join";
    readonly id: string;
    /** Peer address, IP:PORT. */
    readonly address: string;
};

/** Dependencies of a `GroupMembershipTask`. */
type GroupTaskOptions = {
    /** The id and the peer address of this replica. */
    readonly own: { readonly id: string; readonly address: string; };
    readonly network: PeerNetwork;
    readonly log: EventLog;
    readonly status: () => ConsensusStatus;
    readonly changeMembership: (change: MembershipChange) => Promise<ProposalOutcome>;
};

/** How often a replica that is not yet a voter sends a join request. */
const JOIN_INTERVAL_MS = 300;

/**
 * Requests to join the consensus group until this replica is a voter. On the leader, also admits the replicas that
 * request to join.
 */
export class GroupMembershipTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, ReturnType<PeerNetwork["open"]>>();
    private controlAddresses: ReadonlySet<string> = new Set();
    private isChangePending = false;

    public constructor(private readonly options: GroupTaskOptions) {
        options.network.handle(Channel.Group, {
            onMessage: (_remote, body) => void this.handleJoin(body as JoinMessage),
            onClose: () => undefined,
        });
        this.resources.every(JOIN_INTERVAL_MS, () => this.requestJoin());
        this.resources.add({ dispose: () => this.links.forEach((link) => link.dispose()) });
    }

    /** Sets the peer addresses of the control replicas that join requests are sent to. */
    public setControlAddresses(addresses: ReadonlySet<string>): void {
        this.controlAddresses = addresses;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private isVoter(): boolean {
        return this.options.status().membership.voters.some(({ id }) => id === this.options.own.id);
    }

    private requestJoin(): void {
        if (this.isVoter()) {
            this.links.forEach((link) => link.dispose());
            this.links.clear();
            return;
        }
        const message: JoinMessage = { kind: "join", ...this.options.own };
        for (const addressText of this.controlAddresses) {
            const address = parseAddress(addressText);
            if (address && addressText !== this.options.own.address && !this.links.has(addressText)) {
                this.links.set(
                    addressText,
                    this.options.network.open(Channel.Group, address, { onMessage: () => undefined }),
                );
            }
        }
        this.links.forEach((link) => link.send(message));
    }

    /** Makes the next membership change for the sender. Its later requests lead to the changes after that. */
    private async handleJoin(message: JoinMessage): Promise<void> {
        const { changeMembership, log, status } = this.options;
        const { membership, role } = status();
        if (role !== Role.Leader || this.isChangePending) {
            return;
        }
        const change = nextGroupChange(membership, message);
        if (!change) {
            return;
        }
        this.isChangePending = true;
        const outcome = await changeMembership(change);
        this.isChangePending = false;
        const reason = outcome.kind === "applied" ? undefined : outcome.reason;
        log.info("group-change", { change: change.kind, replica: change.id, outcome: outcome.kind, reason });
    }
}
