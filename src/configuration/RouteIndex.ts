import { MeshConfiguration } from "./MeshConfiguration";
import { MeshRoute } from "./MeshRoute";

/** The routes of one host. */
type HostRoutes = {
    /** By path prefix, where that ends with a slash. */
    readonly bySegment: Map<string, MeshRoute>;
    /** The others, longest prefix first. */
    readonly others: MeshRoute[];
};

const pathOf = (target: string): string => target.split("?", 1)[0];

const longerPrefix = (left: MeshRoute | undefined, right: MeshRoute | undefined): MeshRoute | undefined =>
    (left?.pathPrefix.length ?? 0) >= (right?.pathPrefix.length ?? 0) ? left : right;

/** Finds the route of a request by host and longest path prefix. Built once for each configuration. */
export class RouteIndex {
    private readonly hosts = new Map<string, HostRoutes>();

    public constructor({ routes }: MeshConfiguration) {
        for (const route of routes) {
            const host = route.host.toLowerCase();
            const hostRoutes = this.hosts.get(host) ?? { bySegment: new Map<string, MeshRoute>(), others: [] };
            this.hosts.set(host, hostRoutes);
            if (route.pathPrefix.endsWith("/")) {
                hostRoutes.bySegment.set(route.pathPrefix, route);
            }
            else {
                hostRoutes.others.push(route);
            }
        }
        for (const { others } of this.hosts.values()) {
            others.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
    }

    /**
     * @param host may include a port
     * @param target the path and query of the request
     */
    public find(host: string, target: string): MeshRoute | undefined {
        const routes = this.hosts.get(host.split(":", 1)[0].toLowerCase());
        if (!routes) {
            return undefined;
        }
        const path = pathOf(target);
        const other = routes.others.find(({ pathPrefix }) => path.startsWith(pathPrefix));
        return longerPrefix(this.findSegment(routes, path), other);
    }

    /** Tries prefixes of the path from the longest to the shortest. It is cut only after slashes. */
    private findSegment({ bySegment }: HostRoutes, path: string): MeshRoute | undefined {
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = bySegment.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }
}
