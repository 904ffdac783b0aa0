import { VersionedContent } from "../catalogue/VersionedContent";
import { ResourceState } from "../distribution/ResourceState";
import { ServiceResource } from "../distribution/ServiceResource";
import { RoutingTable } from "./RoutingTable";

type ServiceRouting = RoutingTable extends ReadonlyMap<string, infer Routing> ? Routing : never;

const resolve = <Version extends VersionedContent>(version: Version | undefined, { contents }: ResourceState) => {
    const content = version && contents.get(version.digest);
    return version && content ? { ...version, content } : undefined;
};

const toRouting = (resource: ServiceResource, state: ResourceState): ServiceRouting => ({
    service: resource.service,
    revision: resource.revision,
    class: resource.class,
    stable: resolve(resource.stable, state),
    candidate: resolve(resource.candidate, state),
});

/** Builds the routing table of a fully accepted configuration. A version whose content is missing is left out. */
export const buildRoutingTable = (state: ResourceState): RoutingTable =>
    new Map([...state.resources].map(([service, resource]) => [service, toRouting(resource, state)]));
