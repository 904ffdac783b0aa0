import { FetchSource } from "./FetchSource";

type Choice =
    | { readonly kind: "fetch"; readonly address: string; }
    /** A replica of the same zone is expected to announce the version soon. */
    | { readonly kind: "wait"; readonly addresses: readonly string[]; }
    | { readonly kind: "none"; };

/** Returns the one with fewer delays, then the one in the zone, then the first. */
const preferred = (left: FetchSource, right: FetchSource): FetchSource => {
    const order = left.delays - right.delays || Number(right.isInZone) - Number(left.isInZone);
    return order <= 0 ? left : right;
};

/**
 * Chooses the control replica that a node fetches the newest announced configuration from: one of its own zone if it has
 * announced that version or may still do so, otherwise another one. A replica of the zone that was late before is not
 * waited for.
 * @param heldVersion 0 if the node has no configuration
 * @param mayWait false once the node has waited long enough for its own zone
 */
export const chooseFetchSource = (sources: readonly FetchSource[], heldVersion: number, mayWait: boolean): Choice => {
    const newest = Math.max(0, ...sources.map(({ announcedVersion }) => announcedVersion));
    if (newest <= heldVersion) {
        return { kind: "none" };
    }
    const candidates = sources.filter(({ announcedVersion }) => announcedVersion === newest);
    const best = candidates.reduce(preferred);
    const expected = sources.filter(({ announcedVersion, delays, isConnected, isInZone }) =>
        isInZone && isConnected && delays === 0 && announcedVersion < newest
    );
    return mayWait && !best.isInZone && expected.length > 0
        ? { kind: "wait", addresses: expected.map(({ address }) => address) }
        : { kind: "fetch", address: best.address };
};
