import { IngressRequest } from "../calls/IngressRequest";
import { IngressStage } from "../calls/IngressStage";
import { RandomSource } from "../core/RandomSource";
import { LeaseTask } from "./LeaseTask";

/** Refuses requests that were authenticated by a key while this node holds no lease. Other requests need none. */
export class LeaseStage extends IngressStage {
    public constructor(
        private readonly lease: Pick<LeaseTask, "renewalIntervalMs" | "status">,
        private readonly random: RandomSource,
    ) {
        super();
    }

    public override decide(request: IngressRequest): ReturnType<IngressStage["decide"]> {
        if (request.account === undefined) {
            return { kind: "continue", request };
        }
        const status = this.lease.status();
        if (status === "held") {
            return { kind: "continue", request };
        }
        // From half an interval to one and a half, so that refused callers do not return together.
        const retryAfterMs = this.lease.renewalIntervalMs * (0.5 + this.random.fraction());
        return { kind: "refuse", refusal: { status: 503, reason: status, retryAfterMs } };
    }
}
