import { StatsD } from "hot-shots";
import { Disposable } from "../core/Disposable";
import { parseAddress } from "../transport/parseAddress";

const SEND_INTERVAL_MS = 5_000;

/** Sends gauges to a StatsD server at regular intervals. Does nothing if no valid address is given. */
export class StatsdTask implements Disposable {
    private client: StatsD | undefined;
    private timer: NodeJS.Timeout | undefined;

    public constructor(
        address: string | undefined,
        processName: string,
        private readonly gauges: () => Readonly<Record<string, number>>,
    ) {
        const target = address ? parseAddress(address) : undefined;
        if (target) {
            void this.start(target.host, target.port, processName);
        }
    }

    public dispose(): void {
        clearInterval(this.timer);
        this.client?.close(() => undefined);
    }

    private async start(host: string, port: number, processName: string): Promise<void> {
        // Loaded on demand, so that a node without StatsD metrics does not spend memory on the library.
        const { StatsD: Client } = await import("hot-shots");
        this.client = new Client({ host, port, prefix: "filbertdeal.", globalTags: { process: processName } });
        this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS);
    }

    private send(): void {
        Object.entries(this.gauges()).forEach(([name, value]) => this.client?.gauge(name, value));
    }
}
