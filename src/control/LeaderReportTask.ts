import { Disposable } from "../core/Disposable";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { ServiceReport } from "../distribution/ServiceReport";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";

/** Carries the reports of a replica that does not lead to the one that does. */
export class LeaderReportTask implements Disposable {
    private address: string | undefined;
    private link: ReturnType<PeerNetwork["open"]> | undefined;

    public constructor(private readonly network: PeerNetwork, private readonly onOpen: () => void) {}

    /** Follows the leader at the given address; undefined while there is none or this replica leads. */
    public follow(address: string | undefined): void {
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

    /** Sends a report. Returns false if the leader can't be reached. */
    public send(services: readonly ServiceReport[], evidence: readonly RequestStatistics[]): boolean {
        return (this.link?.send({ kind: "report", services, evidence }) ?? 0) > 0;
    }

    public dispose(): void {
        this.link?.dispose();
    }
}
