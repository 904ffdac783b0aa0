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
import { nextRemoval } from "./nextRemoval";

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

/** How often a replica that is not yet a voter sends a join request, and the leader looks for members to remove. */
const CHECK_INTERVAL_MS = 300;

/**
 * A voter that knew no leader in this many checks may have been removed from the group without being told, and requests
 * to join. More than an election takes as a rule.
 */
const CHECKS_WITHOUT_LEADER = 4;

/**
 * Requests to join the consensus group until this replica is a voter. On the leader, also admits the replicas that
 * request to join, and removes members that stopped responding.
 */
export class GroupMembershipTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, ReturnType<PeerNetwork["open"]>>();
    private controlAddresses: ReadonlySet<string> = new Set();
    private isChangePending = false;
    private checksWithoutLeader = 0;

    public constructor(private readonly options: GroupTaskOptions) {
        options.network.handle(Channel.Group, {
            onMessage: (_remote, body) => this.handleJoin(body as JoinMessage),
            onClose: () => undefined,
        });
        this.resources.every(CHECK_INTERVAL_MS, () => this.check());
        this.resources.add({ dispose: () => this.links.forEach((link) => link.dispose()) });
    }

    /** Sets the peer addresses of the control replicas that join requests are sent to. */
    public setControlAddresses(addresses: ReadonlySet<string>): void {
        this.controlAddresses = addresses;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private check(): void {
        const { leaderId, membership, unresponsiveIds } = this.options.status();
        this.checksWithoutLeader = leaderId === undefined ? this.checksWithoutLeader + 1 : 0;
        const isVoter = membership.voters.some(({ id }) => id === this.options.own.id);
        if (!isVoter || this.checksWithoutLeader >= CHECKS_WITHOUT_LEADER) {
            this.requestJoin();
            return;
        }
        this.links.forEach((link) => link.dispose());
        this.links.clear();
        void this.changeGroup(nextRemoval(membership, unresponsiveIds), "unresponsive");
    }

    private requestJoin(): void {
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
    private handleJoin(message: JoinMessage): Promise<void> {
        return this.changeGroup(nextGroupChange(this.options.status().membership, message), "join");
    }

    /** Makes a change, if there is one, this replica leads and no other change is pending. */
    private async changeGroup(change: MembershipChange | undefined, cause: "join" | "unresponsive"): Promise<void> {
        const { changeMembership, log, status } = this.options;
        if (!change || status().role !== Role.Leader || this.isChangePending) {
            return;
        }
        this.isChangePending = true;
        const outcome = await changeMembership(change);
        this.isChangePending = false;
        const reason = outcome.kind === "applied" ? undefined : outcome.reason;
        log.info("group-change", { change: change.kind, replica: change.id, cause, outcome: outcome.kind, reason });
    }
}
