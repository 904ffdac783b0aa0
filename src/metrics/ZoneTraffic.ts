import { Counter, Registry } from "prom-client";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { MemberRecord } from "../membership/MemberRecord";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { TrafficKind } from "./TrafficKind";
import { trafficKinds } from "./trafficKinds";

/** Whether the receiver is in this process's zone; unknown until gossip has told the zone of its host. */
type Destination = "own" | "other" | "unknown";

/** Names of log fields have no hyphens: `loadReportsOther`. */
const fieldNameOf = ({ destination, kind }: { readonly kind: string; readonly destination: string; }): string =>
    `${kind}-${destination}`.replace(/-(.)/g, (_, letter: string) => letter.toUpperCase());

/** A process that is killed loses the counts since its last line. */
const LOG_INTERVAL_MS = 5_000;

/**
 * Counts the bytes that this process sends to its own zone and to others, by kind. Counted are frames with messages, not
 * handshakes, empty heartbeat frames and the headers of TCP and IP.
 */
export class ZoneTraffic {
    private readonly bytes = new Map<string, { kind: TrafficKind; destination: Destination; bytes: number; }>();
    private zoneByHost: ReadonlyMap<string, string> = new Map();

    public constructor(registry: Registry) {
        const totals = this.bytes;
        new Counter({
            name: "filbertdeal_sent_bytes_total",
            help: "Bytes of messages sent to other processes, by kind and by whether the receiver is in this zone",
            labelNames: ["kind", "zone"],
            registers: [registry],
            collect() {
                this.reset();
                totals.forEach(({ bytes, destination, kind }) => this.inc({ kind, zone: destination }, bytes));
            },
        });
    }

    /** Counts all messages that the network sends from now on. */
    public observe(network: PeerNetwork, ownZone: string): void {
        network.observeSent(({ body, bytes, channel, host }) => {
            const zone = this.zoneByHost.get(host);
            const destination = zone === undefined ? "unknown" : zone === ownZone ? "own" : "other";
            trafficKinds.split(channel, body, bytes).forEach((part) => this.add(part.kind, destination, part.bytes));
        });
    }

    /** Logs the bytes of each kind and destination since the start, at intervals and when the store is disposed of. */
    public logPeriodically(log: EventLog, resources: DisposableStore): void {
        const write = (): void => {
            if (this.bytes.size > 0) {
                const totals = [...this.bytes.values()];
                log.info("bytes-sent", Object.fromEntries(totals.map((total) => [fieldNameOf(total), total.bytes])));
            }
        };
        resources.every(LOG_INTERVAL_MS, write);
        resources.add({ dispose: write });
    }

    public updateMembers(members: readonly MemberRecord[]): void {
        this.zoneByHost = new Map(
            members.flatMap(({ peerAddress, zone }) => {
                const host = parseAddress(peerAddress)?.host;
                return host === undefined ? [] : [[host, zone] as const];
            }),
        );
    }

    private add(kind: TrafficKind, destination: Destination, bytes: number): void {
        const key = `${kind}/${destination}`;
        const total = this.bytes.get(key) ?? { kind, destination, bytes: 0 };
        total.bytes += bytes;
        this.bytes.set(key, total);
    }
}
