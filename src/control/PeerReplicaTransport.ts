import { ConsensusMessage } from "../consensus/ConsensusMessage";
import { Membership } from "../consensus/Membership";
import { ReplicaTransport } from "../consensus/ReplicaTransport";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";

type Link = ReturnType<PeerNetwork["open"]>;

type Answerable = {
    readonly send: (message: unknown) => number;
};

/** Carries consensus messages over one link for each other replica. */
export class PeerReplicaTransport extends ReplicaTransport {
    private readonly links = new Map<string, Link>();
    private readonly addresses = new Map<string, string>();
    /** Connections that other replicas opened. A replica that joins answers on them before it knows the membership. */
    private readonly remotes = new Map<string, Answerable>();

    public constructor(
        private readonly ownId: string,
        private readonly network: PeerNetwork,
        private readonly receive: (from: string, message: ConsensusMessage) => void,
    ) {
        super();
        network.handle(Channel.Consensus, {
            onMessage: (remote, body) => {
                this.remotes.set(remote.identity, remote);
                receive(remote.identity, body as ConsensusMessage);
            },
            onClose: (remote) => {
                if (this.remotes.get(remote.identity) === remote) {
                    this.remotes.delete(remote.identity);
                }
            },
        });
    }

    public override send(to: string, message: ConsensusMessage): void {
        const sentBytes = this.links.get(to)?.send(message) ?? 0;
        if (sentBytes === 0) {
            this.remotes.get(to)?.send(message);
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
        wanted.forEach((address, id) => this.openTo(id, address));
    }

    private openTo(id: string, text: string): void {
        const address = parseAddress(text);
        if (this.links.has(id) || !address) {
            return;
        }
        const onMessage = (body: unknown): void => this.receive(id, body as ConsensusMessage);
        this.links.set(id, this.network.open(Channel.Consensus, address, { onMessage }));
        this.addresses.set(id, text);
    }
}
