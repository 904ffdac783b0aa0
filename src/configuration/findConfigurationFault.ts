import { MeshConfiguration } from "./MeshConfiguration";
import { MeshRoute } from "./MeshRoute";

/** No route may keep a caller waiting longer than this: ten minutes, the operators' rule. */
const MAXIMUM_TIMEOUT_MS = 600_000;

/** A target this far above the time-out can never be met: one minute, the operators' rule. */
const MAXIMUM_TARGET_EXCESS_MS = 60_000;

const routeFault = (route: MeshRoute, services: ReadonlySet<string>): string | undefined => {
    const { destinations, pathPrefix, targetLatencyMs, timeoutMs } = route;
    if (destinations.length === 0) {
        return "it leads to no service; name one";
    }
    const unknown = destinations.find(({ service }) => !services.has(service));
    if (unknown) {
        return `there is no service ${unknown.service}; add it to the services`;
    }
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    if (!(total > 0) || destinations.some(({ weight }) => !(weight >= 0))) {
        return "its weights must not be negative and must add up to more than 0";
    }
    if (!pathPrefix.startsWith("/")) {
        return "its path prefix must begin with a slash";
    }
    if (!(timeoutMs > 0) || timeoutMs > MAXIMUM_TIMEOUT_MS) {
        return `its time-out must be above 0 and at most ${MAXIMUM_TIMEOUT_MS} ms`;
    }
    if (targetLatencyMs - timeoutMs >= MAXIMUM_TARGET_EXCESS_MS) {
        return `its target latency must be less than ${MAXIMUM_TARGET_EXCESS_MS} ms above its time-out`;
    }
    return undefined;
};

const firstDouble = (values: readonly string[]): string | undefined =>
    values.find((value, index) => values.indexOf(value) !== index);

/** The first thing that is wrong with a configuration, with its remedy, or undefined if it may be accepted. */
export const findConfigurationFault = ({ routes, services, version }: MeshConfiguration): string | undefined => {
    if (!Number.isSafeInteger(version) || version <= 0) {
        return "the version must be a whole number above 0";
    }
    const names = new Set(services.map(({ name }) => name));
    if (names.size !== services.length) {
        return `service ${firstDouble(services.map(({ name }) => name))} is given twice; remove one`;
    }
    for (const route of routes) {
        const fault = routeFault(route, names);
        if (fault) {
            return `route ${route.name}: ${fault}`;
        }
    }
    return undefined;
};
