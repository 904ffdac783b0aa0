import { Gauge, Registry } from "prom-client";

/** The metrics of a process of the mesh: all names begin with the project's. */
export abstract class ProcessMetrics {
    public readonly registry = new Registry();

    /** @param read gives the value when the metrics are asked for; undefined leaves the last one */
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
