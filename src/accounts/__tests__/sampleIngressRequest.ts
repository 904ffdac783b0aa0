import { IngressRequest } from "../../calls/IngressRequest";
import { sampleConfiguration } from "../../configuration/__tests__/sampleConfiguration";

/** Creates a request on a route that needs a key. */
export const sampleIngressRequest = (change: Partial<IngressRequest> = {}): IngressRequest => ({
    requestId: "r-1",
    route: sampleConfiguration(1).routes[0],
    configurationVersion: 1,
    authorization: undefined,
    arrivedMs: 0,
    account: undefined,
    priority: 2,
    ...change,
});
