/** A route of a configuration, in the order of the columns below. */
const routeRow = ({ name, host, prefix, kind, timeoutMs, targetMs, priority = 1, service, attempts = 2 }) => [
    name,
    host,
    prefix,
    kind,
    `${timeoutMs}ms`,
    `${targetMs}ms`,
    priority,
    service,
    attempts,
    null,
];

/** Returns the body of a Config.Put. */
export const configuration = ({ version, routes, services, cold }) =>
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
            Rows: routes.map(routeRow),
        },
        Services: {
            Columns: [
                "Name",
                "HealthCheckPath",
                "MaxConnections",
                "Protocol",
                "Tls",
                ...(cold ? ["ColdStart", "ColdPerS"] : []),
            ],
            Rows: services.map((name) => [
                name,
                "/healthz",
                130,
                "h1",
                false,
                ...(cold ? [cold.start, cold.perSecond] : []),
            ]),
        },
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
    });
