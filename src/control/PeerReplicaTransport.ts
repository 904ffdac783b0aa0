import { ConsensusMessage } from "../consensus/ConsensusMessage";
import { Membership } from "../consensus/Membership";
import { ReplicaTransport } from "../consensus/ReplicaTransport";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";

type Link = ReturnType<PeerNetwork["open"]>;

type ReplyLink = {
    readonly send: (message: unknown) => number;
};

/**
 * Sends and receives consensus messages over one link to each of the other replicas. A replica that lost its disk returns
 * at the same address with a new id: a link carries messages only while its peer proved the id of the member.
 */
export class PeerReplicaTransport extends ReplicaTransport {
    private readonly links = new Map<string, Link>();
    private readonly addresses = new Map<string, string>();
    /** Links opened by other replicas. A joining replica replies on them while it doesn't know the membership yet. */
    private readonly replyLinks = new Map<string, ReplyLink>();

    public constructor(
        private readonly ownId: string,
        private readonly network: PeerNetwork,
        private readonly receive: (from: string, message: ConsensusMessage) => void,
        /** Called when the replica at a member's address proved another id than that member's. */
        private readonly onUnexpectedPeer: (memberId: string, peerId: string) => void,
    ) {
        super();
        network.handle(Channel.Consensus, {
            onMessage: (remote, body) => {
                this.replyLinks.set(remote.identity, remote);
                receive(remote.identity, body as ConsensusMessage);
            },
            onClose: (remote) => {
                if (this.replyLinks.get(remote.identity) === remote) {
                    this.replyLinks.delete(remote.identity);
                }
            },
        });
    }

    public override send(to: string, message: ConsensusMessage): void {
        const link = this.links.get(to);
        const sentBytes = link?.peerIdentity() === to ? link.send(message) : 0;
        if (sentBytes === 0) {
            this.replyLinks.get(to)?.send(message);
        }
    }

    public override setMembership({ learners, voters }: Membership): void {
        const replicas = [...voters, ...learners].filter(({ id }) => id !== this.ownId);
        const wanted = new Map(replicas.map(({ id, address }) => [id, address]));
        for (const [id, address] of this.addresses) {
            if (wanted.get(id) !== address) {
                this.links.get(id)?.dispose();
                this.links.delete(id);
                this.addresses.delete(id);
            }
        }
        wanted.forEach((address, id) => this.openLink(id, address));
    }

    private openLink(id: string, addressText: string): void {
        const address = parseAddress(addressText);
        if (this.links.has(id) || !address) {
            return;
        }
        const onMessage = (body: unknown): void => {
            if (link.peerIdentity() === id) {
                this.receive(id, body as ConsensusMessage);
            }
        };
        const onOpen = (peerId: string): void => {
            if (peerId !== id) {
                this.onUnexpectedPeer(id, peerId);
            }
        };
        const link = this.network.open(Channel.Consensus, address, { onMessage, onOpen });
        this.links.set(id, link);
        this.addresses.set(id, addressText);
    }
}
