import { ServiceContent } from "../catalogue/ServiceContent";
import { digestOf } from "../core/digestOf";
import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { resourceDigests } from "./resourceDigests";
import { ResourceState } from "./ResourceState";
import { ServiceResource } from "./ServiceResource";

type Result = {
    readonly state: ResourceState;
    /** Services whose resource was added or replaced. */
    readonly changed: readonly string[];
    readonly rejected: readonly Rejection[];
};

type Rejection = {
    readonly service: string;
    readonly revision: number;
    readonly reason: string;
};

/** Returns the name of a route that a proxy could not serve because the content lacks its pool, if there is one. */
const findDanglingRoute = ({ pools, routes }: ServiceContent): string | undefined =>
    routes.find(({ pool }) => !Object.hasOwn(pools, pool))?.name;

/** Returns why a resource must be rejected, or undefined if it is valid. */
const findRejectionReason = (
    resource: ServiceResource,
    contents: ReadonlyMap<string, ServiceContent>,
): string | undefined => {
    for (const digest of resourceDigests(resource)) {
        const content = contents.get(digest);
        if (!content) {
            return `content ${digest} is missing`;
        }
        const route = findDanglingRoute(content);
        if (route) {
            return `route ${route} points at a pool that is not held`;
        }
    }
    return undefined;
};

/**
 * Applies an update. Each service is applied completely or rejected, and one whose revision is not higher than the one
 * held is skipped. Contents that no resource refers to any more are dropped.
 */
export const acceptUpdate = (state: ResourceState, update: ConfigurationUpdate): Result => {
    const verified = update.contents.filter(({ content, digest }) => digestOf(content) === digest);
    const available = new Map([
        ...state.contents,
        ...verified.map(({ content, digest }) => [digest, content] as const),
    ]);
    const resources = new Map(state.resources);
    const rejected: Rejection[] = [];
    const changed: string[] = [];
    for (const resource of update.resources) {
        const { revision, service } = resource;
        if (revision <= (resources.get(service)?.revision ?? 0)) {
            continue;
        }
        const reason = findRejectionReason(resource, available);
        if (reason) {
            rejected.push({ service, revision, reason });
            continue;
        }
        resources.set(service, resource);
        changed.push(service);
    }
    const referenced = new Set([...resources.values()].flatMap(resourceDigests));
    const contents = new Map([...available].filter(([digest]) => referenced.has(digest)));
    const complete = rejected.length === 0;
    const sourceRevision = complete ? Math.max(state.sourceRevision, update.sourceRevision) : state.sourceRevision;
    return { state: { sourceRevision, resources, contents }, changed, rejected };
};
