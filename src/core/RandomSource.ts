import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random numbers: the same seed gives the same sequence. */
export class RandomSource {
    private readonly generator;

    public constructor(public readonly seed: number) {
        this.generator = xoroshiro128plus(seed);
    }

    /** A number in [0, 1). */
    public fraction(): number {
        return uniformFloat64(this.generator);
    }

    /** A whole number from `low` to `high`, both included. */
    public integer(low: number, high: number): number {
        return uniformInt(this.generator, low, high);
    }

    /** One of the items. The list must not be empty. */
    public pick<Item>(items: readonly Item[]): Item {
        return items[this.integer(0, items.length - 1)];
    }
}
