import { Evidence } from "../distribution/Evidence";
import { JudgeState } from "../moves/JudgeState";
import { judgeThresholds } from "../moves/judgeThresholds";
import { judging } from "../moves/judging";
import { RoutingTable } from "./RoutingTable";

/** Why this proxy stopped sending to a candidate. */
type Suppression = {
    readonly service: string;
    readonly version: number;
    readonly reason: string;
};

type Guarded = {
    readonly judge: JudgeState;
    readonly suppressed: boolean;
};

/** Judges candidates on this proxy's own evidence and stops sending to a bad one at once, also when cut off. */
export class CandidateGuard {
    private readonly guarded = new Map<string, Guarded>();

    public constructor(private readonly onSuppress: (suppression: Suppression) => void) {}

    /** Follows the candidates of a new routing table. A new candidate starts with a clean record. */
    public follow(table: RoutingTable): void {
        for (const service of this.guarded.keys()) {
            if (!table.get(service)?.candidate) {
                this.guarded.delete(service);
            }
        }
        for (const { candidate, service, stable } of table.values()) {
            const present = this.guarded.get(service)?.judge.candidateVersion;
            if (candidate && stable && present !== candidate.version) {
                const judge = judging.start(service, stable.version, candidate.version);
                this.guarded.set(service, { judge, suppressed: false });
            }
        }
    }

    public isSuppressed(service: string): boolean {
        return this.guarded.get(service)?.suppressed ?? false;
    }

    public observe(evidence: readonly Evidence[]): void {
        for (const [service, { judge, suppressed }] of this.guarded) {
            const next = judging.observe(judge, evidence);
            const suspicion = judging.suspicion(next);
            const suppress = suppressed || (suspicion?.strength ?? 0) >= judgeThresholds.suppress;
            this.guarded.set(service, { judge: next, suppressed: suppress });
            if (suppress && !suppressed) {
                const reason = `${suspicion?.signal} on route ${suspicion?.route}`;
                this.onSuppress({ service, version: judge.candidateVersion, reason });
            }
        }
    }
}
