import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { HybridClock } from "../core/HybridClock";
import { RandomSource } from "../core/RandomSource";
import { SystemClock } from "../core/SystemClock";
import { addressOf } from "../transport/addressOf";
import { PeerNetwork } from "../transport/PeerNetwork";

/** Who a process is, to its log and to its peers. */
type PeerProcessOptions = {
    /** Names the process in its log. */
    readonly name: string;
    /** Names it to its peers. */
    readonly identity: string;
    readonly secret: string;
    /** IP:PORT for the system's own processes. */
    readonly peerAddress: string;
    readonly seed: number;
    /** Where log lines go; standard output if it is left out. */
    readonly output?: ConstructorParameters<typeof EventLog>[2];
};

/** Opens what every process of the system works with. The store disposes of the network last. */
export const openPeerProcess = (options: PeerProcessOptions) => {
    const { identity, name, output, peerAddress, secret, seed } = options;
    const resources = new DisposableStore();
    const clock = new SystemClock();
    const hybridClock = new HybridClock(clock);
    const log = new EventLog(name, hybridClock, output);
    const random = new RandomSource(seed);
    const localHost = addressOf(peerAddress).host;
    const network = resources.add(new PeerNetwork({ identity, secret, localHost, hybridClock, random }));
    return { resources, clock, log, random, localHost, network } as const;
};
