import { digestKey } from "../../configuration/digestKey";
import { RandomSource } from "../../core/RandomSource";
import { AccountIndex } from "../AccountIndex";
import { AuthenticationStage } from "../AuthenticationStage";
import { elapsedTime } from "../elapsedTime";
import { keyLease } from "../keyLease";
import { LeaseStage } from "../LeaseStage";
import { sampleIngressRequest } from "./sampleIngressRequest";

/** What a run replaces by a faulty variant. */
type ModelVariant = {
    readonly lease: typeof keyLease;
    readonly advance: typeof elapsedTime.advance;
    /** False if a replica answers renewals without confirming its leadership. */
    readonly confirms: boolean;
};

type ClockReading = Parameters<typeof elapsedTime.start>[0];

/** A configuration with one key for each account. */
type Version = {
    readonly version: number;
    readonly acknowledgedMs: number;
    readonly keys: readonly string[];
    readonly index: AccountIndex;
};

type ModelNode = {
    clock: ClockReading;
    readonly rates: ClockReading;
    elapsed: ReturnType<typeof elapsedTime.start>;
    lease: typeof keyLease.initial;
    held: Version | undefined;
    /** Until when its links to the control replicas are cut, and it is suspended or stopped. */
    cutUntilMs: number;
    pausedUntilMs: number;
    /** True if its monotonic clock stands still during the pause. */
    isSuspended: boolean;
};

type Message = {
    readonly dueMs: number;
    readonly deliver: () => void;
};

const REVOCATION_MS = 5_000;
const STEP_MS = 25;
const RUN_MS = 30_000;
const REPLICAS = 3;
/** The clocks' rates differ from real time by less than the tenth of the revocation time that the lease leaves. */
const LOWEST_RATE = 0.91;
const HIGHEST_RATE = 1.09;

/**
 * Runs nodes, control replicas whose leader is frozen and replaced, and an operator who withdraws keys, in steps of
 * simulated time. Returns how often a key was used and the ms by which its worst use was past the bound.
 */
export const leaseModel = (seed: number, { advance, confirms, lease }: ModelVariant) => {
    const random = new RandomSource(seed);
    const chance = (perSecond: number): boolean => random.fraction() < perSecond * STEP_MS / 1_000;
    const between = (low: number, high: number): number => low + (high - low) * random.fraction();
    const withdrawnMs = new Map<string, number>();
    const versions: Version[] = [];
    const accept = (nowMs: number): void => {
        const previous = versions.at(-1);
        const replaced = random.integer(0, 2);
        const version = (previous?.version ?? 0) + 1;
        const keys = [0, 1, 2].map((account) =>
            previous && account !== replaced ? previous.keys[account] : `key-${account}-${version}`
        );
        if (previous) {
            withdrawnMs.set(previous.keys[replaced], nowMs);
        }
        const accounts = keys.map((key, account) => ({ name: `account-${account}`, keys: [digestKey(key)] }));
        versions.push({ version, acknowledgedMs: nowMs, keys, index: new AccountIndex(accounts) });
    };
    const newestAt = (nowMs: number): Version =>
        versions.filter(({ acknowledgedMs }) => acknowledgedMs <= nowMs).at(-1) ?? versions[0];
    accept(0);

    let messages: Message[] = [];
    let leader = 0;
    /** The replicas' processes stand still until then; a replaced leader still believes that it leads. */
    const frozenUntilMs = Array<number>(REPLICAS).fill(0);
    const deposedAtMs = Array<number>(REPLICAS).fill(Number.NEGATIVE_INFINITY);
    const send = (sentMs: number, delayMs: number, deliver: () => void): void =>
        void messages.push({ dueMs: sentMs + delayMs, deliver });

    const start = (): ModelNode => {
        const clock = { monotonicMs: between(0, 1e6), wallMs: between(0, 1e12) };
        const rates = { monotonicMs: between(LOWEST_RATE, HIGHEST_RATE), wallMs: between(LOWEST_RATE, HIGHEST_RATE) };
        const elapsed = elapsedTime.start(clock);
        const idle = { held: undefined, cutUntilMs: 0, pausedUntilMs: 0, isSuspended: false };
        return { clock, rates, elapsed, lease: lease.initial, ...idle };
    };
    const nodes = [0, 1, 2, 3].map(start);
    const now = (node: ModelNode): number => {
        node.elapsed = advance(node.elapsed, node.clock);
        return node.elapsed.totalMs;
    };

    let nowMs = 0;
    let served = 0;
    let worstMs = Number.NEGATIVE_INFINITY;
    /** A replica handles a renewal: it confirms that it leads, and may be frozen before its answer leaves. */
    const handleRenewal = (replica: number, number: number, index: number, node: ModelNode): void => {
        if (frozenUntilMs[replica] > nowMs) {
            send(frozenUntilMs[replica], 1, () => handleRenewal(replica, number, index, node));
            return;
        }
        // A replaced leader may not know it for a while; what it has applied ends with its term.
        const believesThatItLeads = replica === leader || nowMs - deposedAtMs[replica] < 3_000;
        if (confirms ? replica !== leader : !believesThatItLeads) {
            return;
        }
        const { version } = newestAt(replica === leader ? nowMs : deposedAtMs[replica]);
        const delayMs = between(0, chance(8) ? 3_000 : 150);
        send(nowMs, delayMs, () => {
            if (nodes[index] === node && node.cutUntilMs <= nowMs && node.pausedUntilMs <= nowMs) {
                // Every delivery reads the clock, as the task on the node does.
                now(node);
                node.lease = lease.grant(node.lease, String(replica), { number, version }, REVOCATION_MS);
            }
        });
    };
    const renew = (index: number): void => {
        const node = nodes[index];
        const { renewal, state } = lease.renew(node.lease, now(node), REVOCATION_MS);
        node.lease = state;
        for (let replica = 0; renewal && replica < REPLICAS; replica += 1) {
            if (node.cutUntilMs <= nowMs && (renewal.address ?? String(replica)) === String(replica)) {
                send(nowMs, between(1, 60), () => handleRenewal(replica, renewal.number, index, node));
            }
        }
    };
    const request = (node: ModelNode): void => {
        const { held } = node;
        if (!held) {
            return;
        }
        const key = random.pick([...withdrawnMs.keys()].slice(-4).concat(held.keys));
        const authenticated = new AuthenticationStage(() => held.index)
            .decide(sampleIngressRequest({ authorization: `Bearer ${key}` }));
        const status = () => lease.statusOf(node.lease, held.version, now(node));
        const stage = new LeaseStage({ status, renewalIntervalMs: 500 }, random);
        if (authenticated.kind === "continue" && stage.decide(authenticated.request).kind === "continue") {
            served += 1;
            worstMs = Math.max(worstMs, nowMs - (withdrawnMs.get(key) ?? nowMs + REVOCATION_MS) - REVOCATION_MS);
        }
    };
    const disturb = (index: number): void => {
        const node = nodes[index];
        if (chance(0.15)) {
            node.cutUntilMs = nowMs + between(0, 9_000);
        }
        if (chance(0.06)) {
            node.pausedUntilMs = nowMs + between(0, 8_000);
            node.isSuspended = random.fraction() < 0.5;
        }
        if (chance(0.06)) {
            const stepMs = random.pick([-3_600_000, -4_000, 4_000, 3_600_000]);
            node.clock = { ...node.clock, wallMs: node.clock.wallMs + stepMs };
        }
        if (chance(0.03)) {
            nodes[index] = start();
        }
    };

    for (; nowMs < RUN_MS; nowMs += STEP_MS) {
        if (chance(0.4)) {
            accept(nowMs);
        }
        if (chance(0.1)) {
            frozenUntilMs[leader] = nowMs + between(0, 6_000);
        }
        if (chance(0.1)) {
            deposedAtMs[leader] = nowMs;
            leader = (leader + 1) % REPLICAS;
        }
        const due = messages.filter(({ dueMs }) => dueMs <= nowMs);
        messages = messages.filter(({ dueMs }) => dueMs > nowMs);
        due.forEach(({ deliver }) => deliver());
        nodes.forEach((node, index) => {
            const isPaused = node.pausedUntilMs > nowMs;
            const { monotonicMs, wallMs } = node.clock;
            node.clock = {
                monotonicMs: monotonicMs + (isPaused && node.isSuspended ? 0 : STEP_MS * node.rates.monotonicMs),
                wallMs: wallMs + STEP_MS * node.rates.wallMs,
            };
            if (isPaused) {
                return;
            }
            // A replica that lags behind may deliver an older configuration than the newest, never one before the held.
            const offered = versions[Math.max(0, versions.length - 1 - random.integer(0, 2))];
            if (node.cutUntilMs <= nowMs && chance(1) && offered.version > (node.held?.version ?? 0)) {
                node.held = offered;
            }
            // A process that resumes may handle requests before its timers.
            request(node);
            renew(index);
            disturb(index);
        });
    }
    return { served, worstMs };
};
