import { IngressRequest } from "../calls/IngressRequest";
import { IngressStage } from "../calls/IngressStage";
import { AccountIndex } from "./AccountIndex";
import { readBearerKey } from "./readBearerKey";

/** Finds the client account of a request by its key. Refuses a request without a known key, where the route needs one. */
export class AuthenticationStage extends IngressStage {
    /** @param accounts returns undefined if the configuration in force has no client accounts */
    public constructor(private readonly accounts: () => AccountIndex | undefined) {
        super();
    }

    public override decide(request: IngressRequest): ReturnType<IngressStage["decide"]> {
        const index = this.accounts();
        if (!index) {
            return { kind: "continue", request };
        }
        const key = readBearerKey(request.authorization);
        const account = key === undefined ? undefined : index.find(key);
        if (account) {
            const { name, priority = request.priority } = account;
            return { kind: "continue", request: { ...request, account: name, priority } };
        }
        if (request.route.allowsAnonymous) {
            return { kind: "continue", request };
        }
        const reason = key === undefined ? "no-key" : "unknown-key";
        return { kind: "refuse", refusal: { status: 401, reason, headers: { "WWW-Authenticate": "Bearer" } } };
    }
}
