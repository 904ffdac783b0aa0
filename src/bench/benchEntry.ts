import { Firm } from "./Firm";

const COMPLETE_WITHIN_MS = 30_000;

/** Returns the catalogue entry that rolls out a backend version of a firm's service. */
export const benchEntry = (firm: Firm, backendVersion: string): Readonly<Record<string, unknown>> => ({
    service: firm.service,
    owner: firm.name,
    class: "critical",
    limits: { requestShareSteps: [0.05, 0.25, 1], bakeMs: 1_000, watchMs: 2_500, minimumRequests: 10 },
    completeBy: new Date(Date.now() + COMPLETE_WITHIN_MS).toISOString(),
    content: {
        pools: { main: { backendVersion } },
        routes: [
            {
                name: "reads",
                method: "GET",
                pathPrefix: "/",
                pool: "main",
                timeoutMs: 1_000,
                idempotent: true,
                maximumRetries: 2,
            },
            {
                name: "orders",
                method: "POST",
                pathPrefix: firm.orderPath,
                pool: "main",
                timeoutMs: 1_500,
                idempotent: false,
            },
        ],
    },
});
