import { ClientAccount } from "./ClientAccount";
import { MeshConfiguration } from "./MeshConfiguration";
import { MeshRoute } from "./MeshRoute";

/** The longest timeout of a route, by the operators' rules: ten minutes. */
const MAXIMUM_TIMEOUT_MS = 600_000;

/**
 * A target latency above the timeout is never exceeded, since requests time out first. It must be less than this above
 * it: one minute, by the operators' rules.
 */
const MAXIMUM_TARGET_EXCESS_MS = 60_000;

const findRouteFault = (route: MeshRoute, services: ReadonlySet<string>): string | undefined => {
    const { destinations, pathPrefix, targetLatencyMs, timeoutMs } = route;
    if (destinations.length === 0) {
        return "it leads to no service; name one";
    }
    const unknownDestination = destinations.find(({ service }) => !services.has(service));
    if (unknownDestination) {
        return `there is no service ${unknownDestination.service}; add it to the services`;
    }
    const totalWeight = destinations.reduce((sum, { weight }) => sum + weight, 0);
    if (!(totalWeight > 0) || destinations.some(({ weight }) => !(weight >= 0))) {
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

const firstDuplicate = (values: readonly string[]): string | undefined =>
    values.find((value, index) => values.indexOf(value) !== index);

const isControlCharacter = (character: string): boolean => character < " " || character === "\x7f";

/** Names accounts only, since an error message must not contain a key. */
const findAccountFault = (accounts: readonly ClientAccount[]): string | undefined => {
    const duplicate = firstDuplicate(accounts.map(({ name }) => name));
    if (duplicate !== undefined) {
        return `account ${duplicate} is given twice; remove one`;
    }
    const unusable = accounts.find(({ name }) => [...name].some(isControlCharacter));
    if (unusable) {
        return `account ${
            JSON.stringify(unusable.name)
        } has a control character in its name, which is sent as a header`;
    }
    const holders = new Map<string, string>();
    for (const { keys, name } of accounts) {
        for (const key of keys) {
            const holder = holders.get(key);
            if (holder !== undefined && holder !== name) {
                return `accounts ${holder} and ${name} share a key; give each its own`;
            }
            holders.set(key, name);
        }
    }
    return undefined;
};

/** Returns a description of the first error in a configuration and how to correct it, or undefined if it is valid. */
export const findConfigurationFault = (
    { accounts, routes, services, version }: MeshConfiguration,
): string | undefined => {
    if (!Number.isSafeInteger(version) || version <= 0) {
        return "the version must be a whole number above 0";
    }
    const names = new Set(services.map(({ name }) => name));
    if (names.size !== services.length) {
        return `service ${firstDuplicate(services.map(({ name }) => name))} is given twice; remove one`;
    }
    for (const route of routes) {
        const fault = findRouteFault(route, names);
        if (fault) {
            return `route ${route.name}: ${fault}`;
        }
    }
    return findAccountFault(accounts ?? []);
};
