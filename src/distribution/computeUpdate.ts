import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { resourceDigests } from "./resourceDigests";
import { ResourceState } from "./ResourceState";
import { ServiceResource } from "./ServiceResource";
import { Subscription } from "./Subscription";

type Result = {
    /** Undefined if the subscriber lacks nothing. */
    readonly update: ConfigurationUpdate | undefined;
    readonly subscription: Subscription;
};

const isNewer = (resource: ServiceResource, subscription: Subscription): boolean =>
    resource.revision > (subscription.held.get(resource.service)?.revision ?? 0);

/** Finds what a subscriber lacks. The cost depends on what differs, not on how many changes were missed. */
export const computeUpdate = (state: ResourceState, subscription: Subscription): Result => {
    // A parent that lags behind its child would hand out old configuration for services that are new to the child.
    if (state.sourceRevision < subscription.sourceRevision) {
        return { update: undefined, subscription };
    }
    const wanted = [...subscription.services].flatMap((service) => state.resources.get(service) ?? []);
    const resources = wanted.filter((resource) => isNewer(resource, subscription));
    // A change of other services alone is told by the next "caught-up", not by a message of its own.
    if (resources.length === 0) {
        return { update: undefined, subscription };
    }
    const held = new Map(subscription.held);
    const lacking = new Set<string>();
    for (const resource of resources) {
        const present = new Set(held.get(resource.service)?.digests);
        const digests = resourceDigests(resource);
        digests.filter((digest) => !present.has(digest)).forEach((digest) => lacking.add(digest));
        held.set(resource.service, { revision: resource.revision, digests });
    }
    const contents = [...lacking].flatMap((digest) => {
        const content = state.contents.get(digest);
        return content ? [{ digest, content }] : [];
    });
    const { sourceRevision } = state;
    return { update: { sourceRevision, resources, contents }, subscription: { ...subscription, held, sourceRevision } };
};
