import { ServiceContent } from "../catalogue/ServiceContent";
import { digestOf } from "../core/digestOf";
import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { resourceDigests } from "./resourceDigests";
import { ResourceState } from "./ResourceState";
import { ServiceResource } from "./ServiceResource";

type Result = {
    readonly state: ResourceState;
    readonly changed: readonly string[];
    readonly rejected: readonly Rejection[];
};

type Rejection = {
    readonly service: string;
    readonly revision: number;
    readonly reason: string;
};

/** Routes must point at pools of the same content, or the proxy would not hold what it routes to. */
const findDanglingRoute = ({ pools, routes }: ServiceContent): string | undefined =>
    routes.find(({ pool }) => !Object.hasOwn(pools, pool))?.name;

const faultOf = (resource: ServiceResource, contents: ReadonlyMap<string, ServiceContent>): string | undefined => {
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
 * Takes in an update. Each service is taken whole or not at all, and never at a lower revision than
 * the one held.
 */
export const acceptUpdate = (state: ResourceState, update: ConfigurationUpdate): Result => {
    const sound = update.contents.filter(({ content, digest }) => digestOf(content) === digest);
    const available = new Map([...state.contents, ...sound.map(({ content, digest }) => [digest, content] as const)]);
    const resources = new Map(state.resources);
    const rejected: Rejection[] = [];
    const changed: string[] = [];
    for (const resource of update.resources) {
        const { revision, service } = resource;
        if (revision <= (resources.get(service)?.revision ?? 0)) {
            continue;
        }
        const reason = faultOf(resource, available);
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
