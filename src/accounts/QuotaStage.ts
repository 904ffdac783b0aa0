import { IngressRequest } from "../calls/IngressRequest";
import { IngressStage } from "../calls/IngressStage";
import { QuotaTask } from "./QuotaTask";

/** Refuses requests of accounts that have used up their quota. */
export class QuotaStage extends IngressStage {
    public constructor(private readonly task: Pick<QuotaTask, "decide" | "settle">) {
        super();
    }

    public override decide(request: IngressRequest): ReturnType<IngressStage["decide"]> {
        const decision = request.account === undefined
            ? undefined
            : this.task.decide(request.account, request.arrivedMs);
        if (!decision || decision.outcome === "token" || decision.outcome === "credit") {
            return { kind: "continue", request };
        }
        const { outcome, retryAfterMs } = decision;
        return { kind: "refuse", refusal: { status: 429, reason: outcome, retryAfterMs } };
    }

    public override settle({ account, arrivedMs }: IngressRequest, hasRun: boolean): void {
        if (account !== undefined) {
            this.task.settle(account, arrivedMs, hasRun);
        }
    }
}
