/** What an experiment varies in an entry. */
type EntryChange = {
    readonly backendVersion: string;
    readonly requestShareSteps?: readonly number[];
    readonly bakeMs?: number;
    readonly watchMs?: number;
    readonly timeoutMs?: number;
};

/** An entry for experiments: reads under /, orders under /orders that may not be repeated. */
export const entryOf = (service: string, change: EntryChange): Readonly<Record<string, unknown>> => {
    const { backendVersion, bakeMs = 300, requestShareSteps = [1], timeoutMs = 2_000, watchMs = 0 } = change;
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
