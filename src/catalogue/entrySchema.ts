import * as z from "zod";
import { catalogueLimits } from "./catalogueLimits";
import { contentSchema } from "./contentSchema";
import { ServiceClass } from "./ServiceClass";

const share = z.number().gt(0).max(1);

const limitsSchema = z
    .strictObject({
        /** The share of requests that go to the new version in each step, above 0. The last step is 1. */
        requestShareSteps: z.array(share).min(1).max(catalogueLimits.maximumSteps),
        /** The share of proxies that may use the new version before the last step, above 0 up to 1. */
        maximumProxyShare: share.default(1),
        /** The minimum time at each step before the next one. */
        bakeMs: z.number().int().min(0).max(catalogueLimits.maximumBakeMs),
        /** How long the canary analysis continues after the new version is in force everywhere. */
        watchMs: z.number().int().min(0).max(catalogueLimits.maximumBakeMs),
        /**
         * Number of requests to the new version that must be analysed in each step before the next one begins. The
         * rollout doesn't wait for them if that would make it late.
         */
        minimumRequests: z.number().int().min(0).max(1_000_000).default(0),
    })
    .superRefine(({ requestShareSteps }, context) => {
        const rises = requestShareSteps.every((step, index) => index === 0 || step > requestShareSteps[index - 1]);
        if (!rises || requestShareSteps.at(-1) !== 1) {
            const message = "the shares must rise from step to step and end with 1";
            context.addIssue({ code: "custom", path: ["requestShareSteps"], message });
        }
    });

/** One entry of the catalogue: the owner and class of a service, the limits of its rollouts and its content. */
export const entrySchema = z.strictObject({
    service: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be lower-case letters, digits and dashes, at most 63"),
    owner: z.string().min(1).max(100),
    class: z.enum(ServiceClass),
    limits: limitsSchema,
    /** Deadline by which the version must be in force everywhere, as an ISO 8601 time with its offset. */
    completeBy: z.iso.datetime({ offset: true }).optional(),
    content: contentSchema,
});
