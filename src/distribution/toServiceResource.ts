import { EntryRecord } from "../catalogue/EntryRecord";
import { ServiceResource } from "./ServiceResource";

/** Converts a catalogue record to the resource that is sent to proxies. */
export const toServiceResource = (
    { candidate, entry, move, revision, service, stable }: EntryRecord,
): ServiceResource => {
    const { maximumProxyShare, requestShareSteps } = entry.limits;
    const lastStep = requestShareSteps.length - 1;
    const step = move?.step ?? lastStep;
    const shares = { requestShare: requestShareSteps[step], proxyShare: step === lastStep ? 1 : maximumProxyShare };
    return {
        service,
        revision,
        class: entry.class,
        stable,
        candidate: candidate && { ...candidate, ...shares },
    };
};
