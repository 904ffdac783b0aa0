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

/** A replica asks to become a voter. */
type JoinMessage = {
    readonly kind: "join";
    readonly id: string;
    /** Peer address, IP:PORT. */
    readonly address: string;
};

/** What the group's membership is kept with. */
type GroupOptions = {
    readonly own: { readonly id: string; readonly address: string; };
    readonly network: PeerNetwork;
    readonly log: EventLog;
    readonly status: () => ConsensusStatus;
    readonly changeMembership: (change: MembershipChange) => Promise<ProposalOutcome>;
};

/** A replica that is not yet a voter asks this often. */
const JOIN_INTERVAL_MS = 300;

/** Brings this replica into the group and, as the leader, lets others in. */
export class GroupTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, ReturnType<PeerNetwork["open"]>>();
    private addresses: ReadonlySet<string> = new Set();
    private changing = false;

    public constructor(private readonly options: GroupOptions) {
        options.network.handle(Channel.Group, {
            onMessage: (_remote, body) => void this.admit(body as JoinMessage),
            onClose: () => undefined,
        });
        this.resources.every(JOIN_INTERVAL_MS, () => this.askToJoin());
        this.resources.add({ dispose: () => this.links.forEach((link) => link.dispose()) });
    }

    /** Follows the control replicas at these peer addresses. */
    public follow(addresses: ReadonlySet<string>): void {
        this.addresses = addresses;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private isVoter(): boolean {
        return this.options.status().membership.voters.some(({ id }) => id === this.options.own.id);
    }

    private askToJoin(): void {
        if (this.isVoter()) {
            this.links.forEach((link) => link.dispose());
            this.links.clear();
            return;
        }
        const message: JoinMessage = { kind: "join", ...this.options.own };
        for (const text of this.addresses) {
            const address = parseAddress(text);
            if (address && text !== this.options.own.address && !this.links.has(text)) {
                this.links.set(text, this.options.network.open(Channel.Group, address, { onMessage: () => undefined }));
            }
        }
        this.links.forEach((link) => link.send(message));
    }

    private async admit(message: JoinMessage): Promise<void> {
        const { changeMembership, log, status } = this.options;
        const { membership, role } = status();
        if (role !== Role.Leader || this.changing) {
            return;
        }
        const change = nextGroupChange(membership, message);
        if (!change) {
            return;
        }
        this.changing = true;
        const outcome = await changeMembership(change);
        this.changing = false;
        const reason = outcome.kind === "applied" ? undefined : outcome.reason;
        log.info("group-change", { change: change.kind, replica: change.id, outcome: outcome.kind, reason });
    }
}
