/** A configuration with one route for each service, at the path of the service's name. */
export const configuration = (version, services, { routeType = "idempotent", timeout = "2000ms" } = {}) =>
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
            Rows: services.map((service) => [
                `r-${service}`,
                "mesh.example",
                `/${service}/`,
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
            Rows: services.map((service) => [service, "/healthz", 120, "h1", false]),
        },
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
    });
