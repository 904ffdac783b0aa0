import { IngressRequest } from "./IngressRequest";
import { RequestRefusal } from "./RequestRefusal";

/** The decision of a stage: the request, possibly with more known about it, or why it is refused. */
type StageDecision =
    | { readonly kind: "continue"; readonly request: IngressRequest; }
    | { readonly kind: "refuse"; readonly refusal: RequestRefusal; };

/** One of the decisions that a request passes in turn before it is dispatched. It must not wait for anything. */
export abstract class IngressStage {
    public abstract decide(request: IngressRequest): StageDecision;

    /** Called once a request that this stage let through has ended. `hasRun` is false only if it provably did not run. */
    public settle(_request: IngressRequest, _hasRun: boolean): void {
        // Most stages reserve nothing for a request.
    }
}
