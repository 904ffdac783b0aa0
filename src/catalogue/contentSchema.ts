import * as z from "zod";
import { catalogueLimits } from "./catalogueLimits";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be lower-case letters, digits and dashes, at most 63");

const poolSchema = z.strictObject({
    /** The version label that backend servers announce. */
    backendVersion: z.string().min(1).max(100),
    loadBalancing: z.enum(["least-outstanding", "round-robin"]).default("least-outstanding"),
});

const routeSchema = z.strictObject({
    name,
    method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]).optional(),
    pathPrefix: z.string().startsWith("/", "must start with a slash").max(1_000),
    pool: name,
    timeoutMs: z.number().int().min(1).max(catalogueLimits.maximumTimeoutMs),
    /** True only if the backend server may run a request more than once. Only then may it be retried or hedged. */
    idempotent: z.boolean(),
    maximumRetries: z.number().int().min(0).max(catalogueLimits.maximumRetries).default(0),
    /** Delay without a response after which a second copy of the request may be sent (hedging). */
    hedgeAfterMs: z.number().int().min(1).optional(),
});

const admissionSchema = z.strictObject({
    maximumConcurrent: z.number().int().min(1).max(10_000),
    maximumQueued: z.number().int().min(0).max(10_000),
});

/** The configuration of one service in the proxies: pools of backend servers, routes to them and admission limits. */
export const contentSchema = z
    .strictObject({
        pools: z.record(name, poolSchema),
        routes: z.array(routeSchema).min(1).max(catalogueLimits.maximumRoutes),
        admission: admissionSchema.default({ maximumConcurrent: 64, maximumQueued: 32 }),
    })
    .superRefine((content, context) => {
        if (Object.keys(content.pools).length > catalogueLimits.maximumPools) {
            context.addIssue({
                code: "custom",
                path: ["pools"],
                message: `at most ${catalogueLimits.maximumPools} pools`,
            });
        }
        const seen = new Set<string>();
        content.routes.forEach((route, index) => {
            if (!Object.hasOwn(content.pools, route.pool)) {
                const message = `no pool is named ${route.pool}; add it under pools or name one of those`;
                context.addIssue({ code: "custom", path: ["routes", index, "pool"], message });
            }
            if (seen.has(route.name)) {
                const message = `another route is named ${route.name} already; give each route its own name`;
                context.addIssue({ code: "custom", path: ["routes", index, "name"], message });
            }
            if (!route.idempotent && (route.maximumRetries > 0 || route.hedgeAfterMs !== undefined)) {
                const message =
                    "a route that is not idempotent can't retry or hedge; remove both or state idempotent: true";
                context.addIssue({ code: "custom", path: ["routes", index], message });
            }
            seen.add(route.name);
        });
    });
