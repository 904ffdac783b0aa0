import { CatalogueEntry } from "../CatalogueEntry";
import { ServiceClass } from "../ServiceClass";
import { ServiceContent } from "../ServiceContent";

/** A valid entry with three steps. `content` replaces parts of its content. */
export const sampleEntry = (content: Partial<ServiceContent> = {}, service = "map"): CatalogueEntry => ({
    service,
    owner: "lipa",
    class: ServiceClass.Critical,
    limits: {
        requestShareSteps: [0.1, 0.5, 1],
        maximumProxyShare: 1,
        bakeMs: 1_000,
        watchMs: 1_000,
        minimumRequests: 0,
    },
    content: {
        pools: { main: { backendVersion: "v1", loadBalancing: "least-outstanding" } },
        routes: [
            {
                name: "reads",
                method: "GET",
                pathPrefix: "/",
                pool: "main",
                timeoutMs: 500,
                idempotent: true,
                maximumRetries: 1,
            },
        ],
        admission: { maximumConcurrent: 64, maximumQueued: 32 },
        ...content,
    },
});
