/** A kind of request as in `NestedLoad`. */
type Kind = {
    readonly name: string;
    readonly service: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly workMs: number;
    readonly perSecond: number;
    readonly calls?: { readonly kind: string; readonly times: number; readonly share: number; };
};

type Deployment = {
    readonly kinds: readonly Kind[];
    readonly slots: number;
    /** The speeds of the backend servers that are present, by service. */
    readonly speeds: Readonly<Record<string, readonly number[]>>;
    /** Time of a call on the links. */
    readonly linkMs: number;
};

const sum = (numbers: readonly number[]): number => numbers.reduce((total, each) => total + each, 0);

/**
 * Returns which share of the requests of each kind the slots could at most serve if the more urgent kinds got all that they
 * need: the work of the slots in a second, without any wait, refusal or failure. Requests without calls count first.
 */
export const servedAtMost = ({ kinds, linkMs, slots, speeds }: Deployment): ReadonlyMap<string, number> => {
    const freeMs = new Map(Object.entries(speeds).map(([service, list]) => [service, slots * sum(list) * 1_000]));
    const speedOf = (service: string): number => sum(speeds[service]) / speeds[service].length;
    const shares = new Map<string, number>();
    const sent = kinds.filter(({ perSecond }) => perSecond > 0).sort((left, right) => left.priority - right.priority);
    for (const { calls, name, perSecond, service, workMs } of sent) {
        const called = calls && kinds.find((kind) => kind.name === calls.kind);
        const callShare = calls?.share ?? 0;
        const plain = Math.min(perSecond * (1 - callShare), freeMs.get(service)! / workMs);
        freeMs.set(service, freeMs.get(service)! - plain * workMs);
        let calling = 0;
        if (calls && called) {
            const calledMs = calls.times * called.workMs;
            // A slot is held during the calls, whatever the speed of its backend server.
            const heldMs = workMs + (calledMs / speedOf(called.service) + calls.times * linkMs) * speedOf(service);
            const limits = [freeMs.get(service)! / heldMs, freeMs.get(called.service)! / calledMs];
            calling = Math.min(perSecond * callShare, ...limits);
            freeMs.set(service, freeMs.get(service)! - calling * heldMs);
            freeMs.set(called.service, freeMs.get(called.service)! - calling * calledMs);
        }
        shares.set(name, (plain + calling) / perSecond);
    }
    return shares;
};
