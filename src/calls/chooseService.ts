import { MeshRoute } from "../configuration/MeshRoute";

/**
 * The service that a request of the route goes to, by the weights of its destinations.
 * @param fraction of the request, in [0, 1)
 */
export const chooseService = ({ destinations }: MeshRoute, fraction: number): string => {
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    let left = fraction * total;
    for (const { service, weight } of destinations) {
        left -= weight;
        if (left < 0) {
            return service;
        }
    }
    return destinations[destinations.length - 1].service;
};
