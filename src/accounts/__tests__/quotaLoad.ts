import { RandomSource } from "../../core/RandomSource";
import { AccountQuota } from "../AccountQuota";

/** A scheme that decides on requests of accounts with a quota over some nodes. */
type QuotaScheme = {
    readonly step: () => void;
    readonly isAdmitted: (node: number, account: string) => boolean;
    readonly cut: (node: number, isCut: boolean) => void;
};

type LoadOptions = {
    readonly seed: number;
    readonly nodes: number;
    readonly accounts: number;
    readonly seconds: number;
    /** The account that is hot from 8 s to 14 s, by its rank. */
    readonly hotAccount?: number;
    /** Cuts off a quarter of the nodes at this time. */
    readonly cutAtMs?: number;
};

type LoadResult = {
    /** Share of the requests below the quota that were refused in an interval, by where and when. */
    readonly refusedInError: (isCutNode: boolean, fromMs: number, toMs: number) => number;
    /** The worst window of any account, as a share of the bound. */
    readonly worstWindow: number;
};

const STEP_MS = 10;

const WINDOW_MS = 5_000;

/** A bucket without nodes: what is below the quota. */
const createReference = ({ burst, requestsPerSecond }: AccountQuota) => {
    let level = burst;
    let updatedMs = 0;
    return (nowMs: number): boolean => {
        level = Math.min(burst, level + ((nowMs - updatedMs) / 1_000) * requestsPerSecond);
        updatedMs = nowMs;
        const isBelow = level >= 1;
        level -= isBelow ? 1 : 0;
        return isBelow;
    };
};

const worstCount = (times: readonly number[]): number => {
    let first = 0;
    return times.reduce((worst, time, index) => {
        while (times[first] <= time - WINDOW_MS) {
            first += 1;
        }
        return Math.max(worst, index - first + 1);
    }, 0);
};

/** Accounts of 150 to 1 requests a second; the quota is 1.6 times that, the burst one second of the quota. */
const accountsOf = ({ accounts, nodes, seed }: LoadOptions) => {
    const random = new RandomSource(seed);
    return Array.from({ length: accounts }, (_, rank) => {
        const rate = Math.max(1, 150 / (1 + rank * 0.35));
        const hosts = Math.min(nodes, 2 + Math.round(rate / 10) + random.integer(0, 4));
        return {
            name: `account-${rank}`,
            rate,
            quota: { requestsPerSecond: rate * 1.6, burst: Math.max(1, rate * 1.6) },
            hosts: Array.from({ length: hosts }, () => random.integer(0, nodes - 1)),
        };
    });
};

/** Plays a seeded load with callers that arrive at random. The same seed gives every scheme the same requests. */
const play = (options: LoadOptions, scheme: QuotaScheme): LoadResult => {
    const random = new RandomSource(options.seed + 1);
    const accounts = accountsOf(options).map((account) => ({ ...account, reference: createReference(account.quota) }));
    const cutNodes = Math.floor(options.nodes / 4);
    const below: { readonly timeMs: number; readonly node: number; readonly isRefused: boolean; }[] = [];
    const runs = new Map(accounts.map(({ name }) => [name, [] as number[]]));
    for (let nowMs = STEP_MS; nowMs <= options.seconds * 1_000; nowMs += STEP_MS) {
        if (nowMs === options.cutAtMs) {
            Array.from({ length: cutNodes }, (_, node) => scheme.cut(node, true));
        }
        scheme.step();
        accounts.forEach(({ hosts, name, rate, reference }, rank) => {
            const isHot = rank === options.hotAccount && nowMs >= 8_000 && nowMs < 14_000;
            const expected = (rate * (isHot ? 7.5 : 1) * STEP_MS) / 1_000;
            const parts = Math.max(1, Math.ceil(expected * 4));
            for (let part = 0; part < parts; part += 1) {
                if (random.fraction() < expected / parts) {
                    const node = random.pick(hosts);
                    const isBelow = reference(nowMs);
                    const isAdmitted = scheme.isAdmitted(node, name);
                    if (isAdmitted) {
                        runs.get(name)?.push(nowMs);
                    }
                    if (isBelow && rank !== options.hotAccount) {
                        below.push({ timeMs: nowMs, node, isRefused: !isAdmitted });
                    }
                }
            }
        });
    }
    return {
        refusedInError: (isCutNode, fromMs, toMs) => {
            const counted = below.filter(({ node, timeMs }) =>
                (node < cutNodes) === isCutNode && timeMs >= fromMs && timeMs < toMs
            );
            return counted.filter(({ isRefused }) => isRefused).length / Math.max(1, counted.length);
        },
        worstWindow: Math.max(
            ...accounts.map(({ name, quota: { burst, requestsPerSecond } }) =>
                worstCount(runs.get(name) ?? []) / ((requestsPerSecond * 5 + burst) * 1.1 + 20)
            ),
        ),
    };
};

/** Seeded loads of many accounts for the comparison of schemes. */
export const quotaLoad = { accountsOf, play } as const;
