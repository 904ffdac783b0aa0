import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { HybridClock } from "../core/HybridClock";
import { RandomSource } from "../core/RandomSource";
import { SystemClock } from "../core/SystemClock";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";
import { PeerNetwork } from "../transport/PeerNetwork";

/** The identity of a process in its log and towards its peers, and where it listens. */
type ProcessContextOptions = {
    /** The name of the process in its log lines. */
    readonly name: string;
    /** The name of the process in the handshake with its peers. */
    readonly identity: string;
    readonly secret: string;
    /** IP:PORT where the process listens for its peers. Outgoing connections use the same IP. */
    readonly peerAddress: string;
    readonly seed: number;
    /** Where log lines are written; standard output by default. */
    readonly output?: ConstructorParameters<typeof EventLog>[2];
};

/**
 * Creates what every process of the system needs: clock, log, random source and peer network. The network is the first
 * item of `resources`, so it is disposed of last.
 */
export const createProcessContext = (options: ProcessContextOptions) => {
    const { identity, name, output, peerAddress, secret, seed } = options;
    const resources = new DisposableStore();
    const clock = new SystemClock();
    const hybridClock = new HybridClock(clock);
    const log = new EventLog(name, hybridClock, output);
    const random = new RandomSource(seed);
    const localHost = parseAddressOrDefault(peerAddress).host;
    const onUnhandled = (peer: string, channel: string, error: Error): void =>
        log.infoRateLimited("message-unhandled", { peer, channel, reason: error.message });
    const network = resources.add(
        new PeerNetwork({ identity, secret, localHost, hybridClock, random, onUnhandled }),
    );
    return { resources, clock, log, random, localHost, network } as const;
};
