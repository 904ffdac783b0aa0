import { MeshRoute } from "../configuration/MeshRoute";
import { RandomSource } from "../core/RandomSource";
import { chooseService } from "./chooseService";

/**
 * The fractional part of the golden ratio. Its multiples, modulo 1, cover [0, 1) evenly from the first few on.
 * Source: Weyl's equidistribution theorem; the golden ratio gives the lowest discrepancy.
 */
const GOLDEN_RATIO_FRACTION = (Math.sqrt(5) - 1) / 2;

/**
 * Chooses the service for each request of a route with weights. The shares stay close to the weights even over a few
 * requests, where independent random choices would stray.
 */
export class SplitSequence {
    /** The last fraction by route; each starts at random, so that the nodes don't all begin with the same service. */
    private readonly fractions = new Map<string, number>();

    public constructor(private readonly random: RandomSource) {}

    public next(route: MeshRoute): string {
        if (route.destinations.length === 1) {
            return route.destinations[0].service;
        }
        const previous = this.fractions.get(route.name) ?? this.random.fraction();
        const fraction = (previous + GOLDEN_RATIO_FRACTION) % 1;
        this.fractions.set(route.name, fraction);
        return chooseService(route, fraction);
    }

    /** Removes the routes that no longer exist. */
    public keepOnly(routes: ReadonlySet<string>): void {
        [...this.fractions.keys()].filter((name) => !routes.has(name)).forEach((name) => this.fractions.delete(name));
    }
}
