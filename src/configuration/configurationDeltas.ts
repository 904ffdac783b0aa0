import { digestOf } from "../core/digestOf";
import { ConfigurationDelta } from "./ConfigurationDelta";
import { MeshConfiguration } from "./MeshConfiguration";

type Named = { readonly name: string; };

const DIGEST_MODULUS = 1n << 128n;

/** Unchanged routes and services are the same objects from one version to the next, so most are hashed only once. */
const itemDigests = new WeakMap<object, bigint>();

const itemDigest = (item: object): bigint => {
    const cached = itemDigests.get(item);
    if (cached !== undefined) {
        return cached;
    }
    const value = BigInt(`0x${digestOf(item)}`);
    itemDigests.set(item, value);
    return value;
};

/** A hexadecimal sum of the digests of all items, because the order of routes, services and accounts has no meaning. */
const digest = ({ accounts = [], extensions, limits, routes, services, version }: MeshConfiguration): string => {
    let sum = BigInt(`0x${digestOf({ version, limits, extensions })}`);
    for (const item of [...routes, ...services, ...accounts]) {
        sum += itemDigest(item);
    }
    return (sum % DIGEST_MODULUS).toString(16);
};

const changedItems = <Item extends Named>(before: readonly Item[], after: readonly Item[]): readonly Item[] => {
    const beforeByName = new Map(before.map((item) => [item.name, item]));
    return after.filter((item) => {
        const previous = beforeByName.get(item.name);
        return !previous || itemDigest(previous) !== itemDigest(item);
    });
};

const removedNames = (before: readonly Named[], after: readonly Named[]): readonly string[] => {
    const remaining = new Set(after.map(({ name }) => name));
    return before.map(({ name }) => name).filter((name) => !remaining.has(name));
};

const applyItems = <Item extends Named>(
    before: readonly Item[],
    removed: readonly string[],
    changed: readonly Item[],
): readonly Item[] => {
    const items = new Map(before.map((item) => [item.name, item]));
    removed.forEach((name) => items.delete(name));
    changed.forEach((item) => items.set(item.name, item));
    return [...items.values()];
};

/** Returns the changes from `before` to `after`; the whole of `after` if there is no `before`. */
const between = (before: MeshConfiguration | undefined, after: MeshConfiguration): ConfigurationDelta => ({
    fromVersion: before?.version ?? 0,
    version: after.version,
    removedRoutes: removedNames(before?.routes ?? [], after.routes),
    changedRoutes: changedItems(before?.routes ?? [], after.routes),
    removedServices: removedNames(before?.services ?? [], after.services),
    changedServices: changedItems(before?.services ?? [], after.services),
    limits: after.limits,
    ...(after.extensions !== undefined && { extensions: after.extensions }),
    ...(after.accounts && {
        accounts: {
            removed: removedNames(before?.accounts ?? [], after.accounts),
            changed: changedItems(before?.accounts ?? [], after.accounts),
        },
    }),
    digest: digest(after),
});

/** Applies a delta. Returns undefined if it is for another version or the result does not match its digest. */
const patch = (before: MeshConfiguration | undefined, delta: ConfigurationDelta): MeshConfiguration | undefined => {
    if (delta.fromVersion !== 0 && delta.fromVersion !== before?.version) {
        return undefined;
    }
    const base = delta.fromVersion === 0 ? undefined : before;
    const after: MeshConfiguration = {
        version: delta.version,
        routes: applyItems(base?.routes ?? [], delta.removedRoutes, delta.changedRoutes),
        services: applyItems(base?.services ?? [], delta.removedServices, delta.changedServices),
        limits: delta.limits,
        ...(delta.extensions !== undefined && { extensions: delta.extensions }),
        ...(delta.accounts && {
            accounts: applyItems(base?.accounts ?? [], delta.accounts.removed, delta.accounts.changed),
        }),
    };
    return digest(after) === delta.digest ? after : undefined;
};

/** Creates and applies configuration deltas, so that the cost of distribution depends only on the size of a change. */
export const configurationDeltas = { between, patch, digest } as const;
