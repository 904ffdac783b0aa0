import { Route } from "../catalogue/Route";
import { ServiceContent } from "../catalogue/ServiceContent";

/** Whether a path equals a prefix or lies below it. The prefix matches whole path segments only. */
const matchesPrefix = (prefix: string, path: string): boolean =>
    path.startsWith(prefix)
    && (prefix.endsWith("/") || path.length === prefix.length || /[/?]/.test(path[prefix.length]));

/** Finds the matching route with the longest prefix; of equal prefixes, a route that names the method wins. */
export const matchRoute = ({ routes }: ServiceContent, method: string, path: string): Route | undefined => {
    let best: Route | undefined;
    for (const route of routes) {
        if (!matchesPrefix(route.pathPrefix, path) || (route.method && route.method !== method)) {
            continue;
        }
        const longer = !best || route.pathPrefix.length > best.pathPrefix.length;
        const moreSpecific = best?.pathPrefix.length === route.pathPrefix.length && !best.method && route.method;
        if (longer || moreSpecific) {
            best = route;
        }
    }
    return best;
};
