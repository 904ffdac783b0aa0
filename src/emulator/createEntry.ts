/** The parts of an entry that experiments vary. */
type EntryOptions = {
    readonly backendVersion: string;
    readonly requestShareSteps?: readonly number[];
    readonly bakeMs?: number;
    readonly watchMs?: number;
    readonly timeoutMs?: number;
};

/** Creates a catalogue entry for experiments, with idempotent reads under / and non-idempotent orders under /orders. */
export const createEntry = (service: string, options: EntryOptions): Readonly<Record<string, unknown>> => {
    const { backendVersion, bakeMs = 300, requestShareSteps = [1], timeoutMs = 2_000, watchMs = 0 } = options;
    return {
        service,
        owner: "tests",
        class: "standard",
        limits: { requestShareSteps, bakeMs, watchMs },
        content: {
            pools: { main: { backendVersion } },
            routes: [
                {
                    name: "reads",
                    method: "GET",
                    pathPrefix: "/",
                    pool: "main",
                    timeoutMs,
                    idempotent: true,
                    maximumRetries: 2,
                },
                { name: "orders", method: "POST", pathPrefix: "/orders", pool: "main", timeoutMs, idempotent: false },
            ],
        },
    };
};
