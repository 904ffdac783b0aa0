import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { resourceDigests } from "./resourceDigests";
import { ResourceState } from "./ResourceState";
import { ServiceResource } from "./ServiceResource";
import { Subscription } from "./Subscription";

type Result = {
    /** Undefined if the subscriber lacks nothing. */
    readonly update: ConfigurationUpdate | undefined;
    /** The subscription as it is once the update has been sent. */
    readonly subscription: Subscription;
};

const isNewer = (resource: ServiceResource, subscription: Subscription): boolean =>
    resource.revision > (subscription.held.get(resource.service)?.revision ?? 0);

/**
 * Computes the update that a subscriber needs. Its size depends on what differs, not on how many changes the subscriber
 * missed.
 */
export const computeUpdate = (state: ResourceState, subscription: Subscription): Result => {
    // A parent that lags behind its child would send outdated configuration of services that are new to the child.
    if (state.sourceRevision < subscription.sourceRevision) {
        return { update: undefined, subscription };
    }
    const wanted = [...subscription.services].flatMap((service) => state.resources.get(service) ?? []);
    const resources = wanted.filter((resource) => isNewer(resource, subscription));
    // If only other services changed, the next "caught-up" message tells the child the revision; no update is needed.
    if (resources.length === 0) {
        return { update: undefined, subscription };
    }
    const held = new Map(subscription.held);
    const missingDigests = new Set<string>();
    for (const resource of resources) {
        const heldDigests = new Set(held.get(resource.service)?.digests);
        const digests = resourceDigests(resource);
        digests.filter((digest) => !heldDigests.has(digest)).forEach((digest) => missingDigests.add(digest));
        held.set(resource.service, { revision: resource.revision, digests });
    }
    const contents = [...missingDigests].flatMap((digest) => {
        const content = state.contents.get(digest);
        return content ? [{ digest, content }] : [];
    });
    const { sourceRevision } = state;
    return { update: { sourceRevision, resources, contents }, subscription: { ...subscription, held, sourceRevision } };
};
