import { Route } from "../catalogue/Route";
import { ServiceContent } from "../catalogue/ServiceContent";

const coversPath = (prefix: string, path: string): boolean =>
    path.startsWith(prefix)
    && (prefix.endsWith("/") || path.length === prefix.length || /[/?]/.test(path[prefix.length]));

/** Finds the route with the longest prefix that covers the path; one that names the method goes first. */
export const matchRoute = ({ routes }: ServiceContent, method: string, path: string): Route | undefined => {
    let best: Route | undefined;
    for (const route of routes) {
        if (!coversPath(route.pathPrefix, path) || (route.method && route.method !== method)) {
            continue;
        }
        const longer = !best || route.pathPrefix.length > best.pathPrefix.length;
        const moreExact = best?.pathPrefix.length === route.pathPrefix.length && !best.method && route.method;
        if (longer || moreExact) {
            best = route;
        }
    }
    return best;
};
