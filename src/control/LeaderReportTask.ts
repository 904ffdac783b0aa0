import { Disposable } from "../core/Disposable";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { ServiceReport } from "../distribution/ServiceReport";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";

/** Sends the reports that a follower receives to the leader. */
export class LeaderReportTask implements Disposable {
    private address: string | undefined;
    private link: ReturnType<PeerNetwork["open"]> | undefined;

    /** `onOpen` is called whenever a link to the leader has opened. */
    public constructor(private readonly network: PeerNetwork, private readonly onOpen: () => void) {}

    /** Connects to the leader at the given address; undefined while there is none or this replica leads. */
    public setLeaderAddress(address: string | undefined): void {
        if (address === this.address) {
            return;
        }
        this.address = address;
        this.link?.dispose();
        this.link = undefined;
        const target = address ? parseAddress(address) : undefined;
        if (target) {
            const handler = { onOpen: () => this.onOpen(), onMessage: () => undefined };
            this.link = this.network.open(Channel.Distribution, target, handler);
        }
    }

    /** Sends a report. Returns false if there is no open link to the leader. */
    public send(services: readonly ServiceReport[], statistics: readonly RequestStatistics[]): boolean {
        return (this.link?.send({ kind: "report", services, evidence: statistics }) ?? 0) > 0;
    }

    public dispose(): void {
        this.link?.dispose();
    }
}
