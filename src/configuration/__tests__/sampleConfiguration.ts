import { MeshConfiguration } from "../MeshConfiguration";
import { MeshRoute } from "../MeshRoute";

const route = (name: string, pathPrefix: string, change: Partial<MeshRoute> = {}): MeshRoute => ({
    name,
    host: "maps.example",
    pathPrefix,
    kind: "idempotent",
    timeoutMs: 1_500,
    targetLatencyMs: 500,
    priority: 2,
    maximumAttempts: 2,
    destinations: [{ service: "canopy-map", weight: 100 }],
    weighted: false,
    ...change,
});

/** A small configuration with two services, for tests. */
export const sampleConfiguration = (version: number, change: Partial<MeshConfiguration> = {}): MeshConfiguration => ({
    version,
    routes: [
        route("tiles", "/tiles/"),
        route("orders", "/tiles/orders/", { kind: "non-idempotent" }),
        route("survey", "/", { destinations: [{ service: "tree-survey", weight: 100 }] }),
    ],
    services: ["canopy-map", "tree-survey"].map((name) => ({
        name,
        healthCheckPath: "/healthz",
        maximumConnections: 120,
        protocol: "h1",
        tls: false,
    })),
    limits: {
        maximumHeaderBytes: 16_384,
        maximumBodyBytes: 1_048_576,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
    },
    ...change,
});
