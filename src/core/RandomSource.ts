import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded pseudo-random number generator: the same seed gives the same sequence. */
export class RandomSource {
    private readonly generator;

    public constructor(public readonly seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** Returns a number in [0, 1). */
    public fraction(): number {
        return uniformFloat64(this.generator);
    }

    /** Returns an integer from `low` to `high`, both included. */
    public integer(low: number, high: number): number {
        return uniformInt(this.generator, low, high);
    }

    /** Returns a random item. The list must not be empty. */
    public pick<Item>(items: readonly Item[]): Item {
        return items[this.integer(0, items.length - 1)];
    }
}
