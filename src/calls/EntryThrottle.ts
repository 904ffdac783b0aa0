import { CallResult } from "./CallResult";
import { overloadThrottle } from "./overloadThrottle";

/** A request as far as the throttle is concerned. */
type ThrottledCall = {
    readonly service: string;
    readonly priority: number;
    /** Time until a response counts as late, and the same for a first attempt. */
    readonly targetRemainingMs: number;
    readonly targetLatencyMs: number;
    /** Time that requests of the route take at a backend server. */
    readonly serviceMs: number;
};

/** True if a response is expected late since the request was sent before. First attempts of a slow route are not. */
const isLate = ({ serviceMs, targetLatencyMs, targetRemainingMs }: ThrottledCall): boolean =>
    targetRemainingMs < serviceMs && serviceMs < targetLatencyMs;

const keyOf = ({ priority, service }: ThrottledCall): string => `${service}/${priority}`;

/** Rejects requests of callers of this host at once while backend servers refuse most of their service and priority. */
export class EntryThrottle {
    private readonly states = new Map<string, typeof overloadThrottle.empty>();

    /** Returns the refusal of a request that arrives, or undefined if it is to be sent. */
    public enter(call: ThrottledCall, nowMs: number): CallResult | undefined {
        const known = this.states.get(keyOf(call)) ?? overloadThrottle.empty;
        const { isRejected, state } = overloadThrottle.decide(known, isLate(call), nowMs);
        this.states.set(keyOf(call), state);
        return isRejected ? { kind: "not-run", reason: "overload", retryAfterMs: state.retryAfterMs } : undefined;
    }

    /** Records how a request that was sent ended. */
    public leave(call: ThrottledCall, result: CallResult, nowMs: number): void {
        if (result.kind === "not-run" && (result.reason === "no-room" || result.reason === "expired")) {
            const known = this.states.get(keyOf(call)) ?? overloadThrottle.empty;
            this.states.set(keyOf(call), overloadThrottle.refuse(known, result.retryAfterMs, nowMs));
        }
    }
}
