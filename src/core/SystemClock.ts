import { Clock } from "./Clock";

/** The clock of the operating system. */
export class SystemClock extends Clock {
    public override monotonicMs(): number {
        return performance.now();
    }

    public override wallMs(): number {
        return Date.now();
    }
}
