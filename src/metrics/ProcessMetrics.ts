import { Gauge, Registry } from "prom-client";
import { ZoneTraffic } from "./ZoneTraffic";

/** Base class for the Prometheus metrics of a process. Every metric name starts with `filbertdeal_`. */
export abstract class ProcessMetrics {
    public readonly registry = new Registry();
    public readonly zoneTraffic = new ZoneTraffic(this.registry);

    /**
     * Registers a gauge.
     * @param read called at each scrape; undefined keeps the previous value
     */
    protected gauge(name: string, help: string, read: () => number | undefined): void {
        new Gauge({
            name: `filbertdeal_${name}`,
            help,
            registers: [this.registry],
            collect() {
                const value = read();
                if (value !== undefined) {
                    this.set(value);
                }
            },
        });
    }
}
