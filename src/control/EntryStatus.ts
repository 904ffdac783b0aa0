import { RolloutOutcome } from "../catalogue/RolloutOutcome";

/** Where an entry stands, as far as the leader knows. Times are ISO 8601. */
export type EntryStatus = {
    readonly service: string;
    readonly owner: string;
    readonly class: string;
    readonly version: number;
    readonly revision: number;
    readonly stableVersion: number | undefined;
    readonly state: "in-force" | "moving" | "late" | "spreading";
    readonly move: MoveStatus | undefined;
    readonly proxies: ProxyCoverage;
    readonly lastOutcome: RolloutOutcome | undefined;
};

type MoveStatus = {
    readonly version: number;
    readonly step: number;
    readonly steps: number;
    readonly requestShare: number;
    readonly judgedRequests: number | undefined;
    readonly late: boolean;
    readonly inForceAt: string | undefined;
    readonly estimatedInForceAt: string | undefined;
    readonly completeBy: string | undefined;
    /** What the move waits for. */
    readonly waitingFor: string;
};

type ProxyCoverage = {
    readonly expected: number;
    readonly holding: number;
    /** Proxies in zones that can't be reached: whether they hold the version is unknown. */
    readonly unknown: number;
    readonly silentZones: readonly string[];
    readonly suppressing: number;
};
