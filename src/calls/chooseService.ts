import { MeshRoute } from "../configuration/MeshRoute";

/**
 * Chooses the service for a request of the route, by the weights of the route's destinations.
 * @param fraction random number in [0, 1) drawn for the request
 */
export const chooseService = ({ destinations }: MeshRoute, fraction: number): string => {
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    let remainingWeight = fraction * total;
    for (const { service, weight } of destinations) {
        remainingWeight -= weight;
        if (remainingWeight < 0) {
            return service;
        }
    }
    return destinations[destinations.length - 1].service;
};
