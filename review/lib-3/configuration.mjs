const toRoute = (route) => (typeof route === "string" ? { path: `/${route}/`, service: route } : route);

/** A configuration. `routes` holds the names of services, each with a route at its name, or routes with path and service. */
export const configuration = (version, routes, { routeType = "idempotent", timeout = "2000ms" } = {}) =>
    JSON.stringify({
        ConfigVersion: version,
        Routes: {
            Columns: [
                "Name",
                "Hostname",
                "PathPrefix",
                "RouteType",
                "Timeout",
                "TargetLatency",
                "Priority",
                "ServiceName",
                "Attempts",
                "TrafficSplit",
            ],
            Rows: routes.map(toRoute).map(({ path, service }) => [
                `r-${path}`,
                "mesh.example",
                path,
                routeType,
                timeout,
                "500ms",
                1,
                service,
                2,
                null,
            ]),
        },
        Services: {
            Columns: ["Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"],
            Rows: [...new Set(routes.map((route) => toRoute(route).service))].map((
                service,
            ) => [service, "/healthz", 120, "h1", false]),
        },
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
    });
