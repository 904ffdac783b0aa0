import { MeshConfiguration } from "./MeshConfiguration";
import { MeshRoute } from "./MeshRoute";

const pathOf = (target: string): string => target.split("?", 1)[0];

/** Finds the route of a request by host and longest path prefix. Built once for each configuration. */
export class RouteIndex {
    private readonly hosts = new Map<string, ReadonlyMap<string, MeshRoute>>();

    public constructor(configuration: MeshConfiguration) {
        const hosts = new Map<string, Map<string, MeshRoute>>();
        for (const route of configuration.routes) {
            const prefixes = hosts.get(route.host) ?? new Map<string, MeshRoute>();
            hosts.set(route.host, prefixes.set(route.pathPrefix, route));
        }
        this.hosts = hosts;
    }

    /**
     * Tries prefixes of the path from the longest to the shortest. The prefixes of routes end with a slash, so the path
     * is cut only after slashes.
     * @param host may include a port
     * @param target the path and query of the request
     */
    public find(host: string, target: string): MeshRoute | undefined {
        const routesByPrefix = this.hosts.get(host.split(":", 1)[0].toLowerCase());
        if (!routesByPrefix) {
            return undefined;
        }
        const path = pathOf(target);
        for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
            const route = routesByPrefix.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
            if (end === 0) {
                break;
            }
        }
        return undefined;
    }
}
