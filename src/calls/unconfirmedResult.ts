import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";

/**
 * Returns the result of a request that is not started since its caller may have left. The nodes on its way are behind by
 * about this time.
 */
export const unconfirmedResult = ({ unconfirmedMs = 0 }: CallRequest): CallResult => ({
    kind: "not-run",
    reason: "unconfirmed",
    retryAfterMs: Math.ceil(unconfirmedMs),
});
