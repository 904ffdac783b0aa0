import { RequestStatistics } from "../distribution/RequestStatistics";
import { canaryAnalysis } from "../moves/canaryAnalysis";
import { CanaryAnalysisState } from "../moves/CanaryAnalysisState";
import { canaryThresholds } from "../moves/canaryThresholds";
import { RoutingTable } from "./RoutingTable";

/** A candidate that this proxy stopped sending requests to, and why. */
type Suppression = {
    readonly service: string;
    readonly version: number;
    readonly reason: string;
};

type CandidateState = {
    readonly analysis: CanaryAnalysisState;
    readonly suppressed: boolean;
};

/**
 * Suppresses a candidate version (stops sending requests to it) when this proxy's own request statistics show a
 * regression. Acts at once, even without a connection to the control plane.
 */
export class CandidateGuard {
    private readonly candidates = new Map<string, CandidateState>();

    public constructor(private readonly onSuppress: (suppression: Suppression) => void) {}

    /**
     * Adopts the candidates of a new routing table: forgets services without one, and starts to analyse a new candidate
     * without any earlier request statistics.
     */
    public syncCandidates(table: RoutingTable): void {
        for (const service of this.candidates.keys()) {
            if (!table.get(service)?.candidate) {
                this.candidates.delete(service);
            }
        }
        for (const { candidate, service, stable } of table.values()) {
            const trackedVersion = this.candidates.get(service)?.analysis.candidateVersion;
            if (candidate && stable && trackedVersion !== candidate.version) {
                const analysis = canaryAnalysis.start(service, stable.version, candidate.version);
                this.candidates.set(service, { analysis, suppressed: false });
            }
        }
    }

    public isSuppressed(service: string): boolean {
        return this.candidates.get(service)?.suppressed ?? false;
    }

    /** Adds a batch of request statistics and suppresses each candidate whose regression reaches the threshold. */
    public observe(statistics: readonly RequestStatistics[]): void {
        for (const [service, { analysis, suppressed }] of this.candidates) {
            const next = canaryAnalysis.observe(analysis, statistics);
            const regression = canaryAnalysis.strongestRegression(next);
            const suppress = suppressed || (regression?.strength ?? 0) >= canaryThresholds.suppress;
            this.candidates.set(service, { analysis: next, suppressed: suppress });
            if (suppress && !suppressed) {
                const reason = `${regression?.signal} on route ${regression?.route}`;
                this.onSuppress({ service, version: analysis.candidateVersion, reason });
            }
        }
    }
}
