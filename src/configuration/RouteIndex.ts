import { MeshConfiguration } from "./MeshConfiguration";
import { MeshRoute } from "./MeshRoute";

const pathOf = (target: string): string => target.split("?", 1)[0];

/** Finds the route of a request: by host, then by the longest path prefix. Built once a configuration. */
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
     * Prefixes end with a slash, so only the path's slashes are tried, from the last to the first.
     * @param host may carry a port
     * @param target the request's path and query
     */
    public find(host: string, target: string): MeshRoute | undefined {
        const prefixes = this.hosts.get(host.split(":", 1)[0].toLowerCase());
        if (!prefixes) {
            return undefined;
        }
        const path = pathOf(target);
        for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
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
