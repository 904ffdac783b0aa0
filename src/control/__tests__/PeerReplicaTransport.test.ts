import { ConsensusMessage } from "../../consensus/ConsensusMessage";
import { HybridClock } from "../../core/HybridClock";
import { RandomSource } from "../../core/RandomSource";
import { SystemClock } from "../../core/SystemClock";
import { PeerNetwork } from "../../transport/PeerNetwork";
import { PeerReplicaTransport } from "../PeerReplicaTransport";

type Received = {
    readonly from: string;
    readonly message: ConsensusMessage;
};

const createNetwork = (identity: string): PeerNetwork =>
    new PeerNetwork({
        identity,
        secret: "the-secret",
        localHost: "127.0.0.1",
        hybridClock: new HybridClock(new SystemClock()),
        random: new RandomSource(1),
    });

/** Starts the transport of a replica that listens on a free port. It answers each vote request with a vote. */
const startVoter = async (id: string) => {
    const network = createNetwork(id);
    const requests: Received[] = [];
    const transport: PeerReplicaTransport = new PeerReplicaTransport(id, network, (from, message) => {
        requests.push({ from, message });
        transport.send(from, { kind: "vote-response", term: message.term, granted: true });
    }, () => undefined);
    const { host, port } = await network.listen({ host: "127.0.0.1", port: 0 });
    return { address: `${host}:${port}`, network, requests };
};

/** Opens links to the members from a candidate, sends a vote request to each and returns what it receives. */
const requestVotes = async (members: readonly { readonly id: string; readonly address: string; }[]) => {
    const network = createNetwork("candidate");
    const received: Received[] = [];
    let resolveOpen: () => void = () => undefined;
    const mismatch = new Promise<void>((resolve) => (resolveOpen = resolve));
    const transport = new PeerReplicaTransport(
        "candidate",
        network,
        (from, message) => received.push({ from, message }),
        () => resolveOpen(),
    );
    transport.setMembership({ voters: members, learners: [] });
    return { mismatch, network, received, transport };
};

const voteRequest: ConsensusMessage = { kind: "vote-request", term: 2, lastIndex: 0, lastTerm: 0 };

describe("PeerReplicaTransport", () => {
    // Guards against inc1 and inc2: a replica that had lost its disk voted in place of its previous id.
    test("exchanges no messages with a replica that has another id than the member at its address", async () => {
        const returned = await startVoter("b#2");
        const other = await startVoter("c");
        const members = [{ id: "b#1", address: returned.address }, { id: "c", address: other.address }];
        const candidate = await requestVotes(members);
        await candidate.mismatch;
        // The member's votes show that messages have had time to arrive.
        while (candidate.received.filter(({ from }) => from === "c").length < 5) {
            members.forEach(({ id }) => candidate.transport.send(id, voteRequest));
            await new Promise((resolve) => setTimeout(resolve, 10));
        }
        await Promise.all([candidate, returned, other].map(({ network }) => network.dispose()));
        expect(candidate.received.filter(({ from }) => from !== "c")).toEqual([]);
        expect(returned.requests).toEqual([]);
    });
});
