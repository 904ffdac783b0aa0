import { RolloutOutcome } from "../catalogue/RolloutOutcome";

/** The status of an entry, as far as the leader knows. Times are ISO 8601 unless their name ends in Ms. */
export type EntryStatus = {
    readonly service: string;
    readonly owner: string;
    readonly class: string;
    readonly version: number;
    readonly revision: number;
    readonly stableVersion: number | undefined;
    /**
     * `moving`: a rollout is in progress; `late`: a rollout is in progress and can't meet its deadline; `spreading`: no
     * rollout, and some proxies don't hold the latest revision yet; `in-force`: no rollout, and all proxies hold it.
     */
    readonly state: "in-force" | "moving" | "late" | "spreading";
    /** The rollout in progress. */
    readonly move: RolloutStatus | undefined;
    readonly proxies: ProxyCoverage;
    readonly lastOutcome: RolloutOutcome | undefined;
};

type RolloutStatus = {
    readonly version: number;
    /** Number of the current step, from 1. */
    readonly step: number;
    readonly steps: number;
    readonly requestShare: number;
    /** Requests to the new version that the canary analysis has counted. */
    readonly judgedRequests: number | undefined;
    readonly late: boolean;
    readonly inForceAt: string | undefined;
    readonly estimatedInForceAt: string | undefined;
    readonly completeBy: string | undefined;
    /** The condition that the rollout waits for, as text. */
    readonly waitingFor: string;
};

type ProxyCoverage = {
    /** Proxies that use the service. */
    readonly expected: number;
    /** Proxies that hold the latest revision. */
    readonly holding: number;
    /** Proxies in zones that no longer report. Whether they hold the revision is unknown. */
    readonly unknown: number;
    /** Availability zones that no longer report. */
    readonly silentZones: readonly string[];
    /** Proxies that stopped sending requests to the new version because of their own analysis. */
    readonly suppressing: number;
};
