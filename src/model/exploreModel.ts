import { advanceModel } from "./advanceModel";
import { enumerateEvents } from "./enumerateEvents";
import { hashModel } from "./hashModel";
import { ModelEvent } from "./ModelEvent";
import { ModelState } from "./ModelState";
import { ProtocolStep } from "./ProtocolStep";

/** The result of an exploration. */
type Exploration = {
    /** The number of distinct states found. */
    readonly states: number;
    /** False if a violation was found or the limit on states was reached first. */
    readonly exhausted: boolean;
    readonly violation: string | undefined;
    /** The events from the initial state to the violation; empty without one. */
    readonly trace: readonly ModelEvent[];
    /** The most entries committed in any state. At 0, no invariant on committed entries was exercised. */
    readonly mostCommitted: number;
};

/** A state on the search stack, with the event and the state that led to it. */
type Visit = {
    readonly model: ModelState;
    readonly event: ModelEvent | undefined;
    readonly parent: Visit | undefined;
};

const traceOf = (visit: Visit): readonly ModelEvent[] => {
    const events: ModelEvent[] = [];
    for (let current: Visit | undefined = visit; current; current = current.parent) {
        if (current.event) {
            events.unshift(current.event);
        }
    }
    return events;
};

/**
 * Visits every state that is reachable within the budget, depth first, until an invariant is violated or more than
 * `maximumStates` have been seen.
 */
export const exploreModel = (initial: ModelState, step: ProtocolStep, maximumStates: number): Exploration => {
    const seen = new Set<string>([hashModel(initial)]);
    const stack: Visit[] = [{ model: initial, event: undefined, parent: undefined }];
    let mostCommitted = 0;
    for (let visit = stack.pop(); visit; visit = stack.pop()) {
        const { model } = visit;
        mostCommitted = Math.max(mostCommitted, model.committed.size);
        if (model.violation) {
            const { violation } = model;
            return { states: seen.size, exhausted: false, violation, trace: traceOf(visit), mostCommitted };
        }
        for (const event of enumerateEvents(model)) {
            const next = advanceModel(model, event, step);
            const hash = hashModel(next);
            if (seen.has(hash) && !next.violation) {
                continue;
            }
            seen.add(hash);
            if (seen.size > maximumStates) {
                return { states: seen.size, exhausted: false, violation: undefined, trace: [], mostCommitted };
            }
            stack.push({ model: next, event, parent: visit });
        }
    }
    return { states: seen.size, exhausted: true, violation: undefined, trace: [], mostCommitted };
};
