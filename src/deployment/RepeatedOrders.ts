import { Clock } from "../core/Clock";
import { AcceptedOrder } from "./AcceptedOrder";
import { acceptedOrders } from "./acceptedOrders";

type RepetitionOptions = {
    readonly clock: Pick<Clock, "monotonicMs" | "wallMs">;
    /** An order may arrive again for this long after it was accepted. */
    readonly windowMs: number;
    /** The wall clocks of two replicas may differ by this much. */
    readonly maximumSkewMs: number;
};

/** How old an order was when this replica first saw it, and when that was on the monotonic clock. */
type Sighting = {
    readonly ageMs: number;
    readonly seenAtMs: number;
};

/**
 * Judges by the age of accepted orders whether an order that arrives is one of them again. Each replica measures the ages
 * itself: the wall clock of the leader that accepted an order may differ from that of the next leader by more than the
 * time that lies between a late repetition and a new order.
 */
export class RepeatedOrders {
    private sightings: ReadonlyMap<number, Sighting> = new Map();

    public constructor(private readonly options: RepetitionOptions) {}

    /**
     * Takes in the accepted orders after each change.
     * @param isReplay true for what was accepted before this replica started, whose age only the wall clocks tell
     */
    public observe(orders: readonly AcceptedOrder[], isReplay: boolean): void {
        const { clock, maximumSkewMs } = this.options;
        const seenAtMs = clock.monotonicMs();
        const wallMs = clock.wallMs();
        const sightingOf = ({ acceptedAtMs, number }: AcceptedOrder): Sighting => {
            const known = this.sightings.get(number);
            // An order that is seen late was accepted long before if that exceeds any difference of the clocks.
            const ageMs = wallMs - acceptedAtMs - (isReplay ? 0 : maximumSkewMs);
            return known ?? { ageMs: Math.max(0, ageMs), seenAtMs };
        };
        this.sightings = new Map(orders.map((order) => [order.number, sightingOf(order)]));
    }

    /** Returns the number of the last order with this identity if it is too old to arrive again, otherwise 0. */
    public forgottenNumber(orders: readonly AcceptedOrder[], identity: string): number {
        const { clock, windowMs } = this.options;
        const number = acceptedOrders.lastNumber(orders, identity);
        const sighting = this.sightings.get(number);
        const isForgotten = sighting !== undefined
            && clock.monotonicMs() - sighting.seenAtMs + sighting.ageMs >= windowMs;
        return isForgotten ? number : 0;
    }
}
