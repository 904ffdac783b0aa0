import { IngressRequest } from "./IngressRequest";
import { IngressStage } from "./IngressStage";
import { RequestRefusal } from "./RequestRefusal";

type Admission = {
    /** The request with what the stages found out about it. */
    readonly request: IngressRequest;
    /** Undefined if the request is admitted. */
    readonly refusal: RequestRefusal | undefined;
};

/** Passes a request through the stages. If one refuses it, the earlier ones learn that it did not run. */
export const passStages = (stages: readonly IngressStage[], request: IngressRequest): Admission => {
    let current = request;
    for (const [index, stage] of stages.entries()) {
        const decision = stage.decide(current);
        if (decision.kind === "refuse") {
            stages.slice(0, index).forEach((earlier) => earlier.settle(current, false));
            return { request: current, refusal: decision.refusal };
        }
        current = decision.request;
    }
    return { request: current, refusal: undefined };
};
