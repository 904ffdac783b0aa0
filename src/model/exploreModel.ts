import { advanceModel } from "./advanceModel";
import { encodeModel } from "./encodeModel";
import { enumerateEvents } from "./enumerateEvents";
import { ModelEvent } from "./ModelEvent";
import { ModelRules } from "./ModelRules";
import { ModelState } from "./ModelState";

/** The outcome of an exploration. */
type Exploration = {
    readonly states: number;
    /** False if the limit on states was reached first. */
    readonly exhausted: boolean;
    readonly violation: string | undefined;
    /** The events that led to the violation. */
    readonly trace: readonly ModelEvent[];
    /** How many entries were committed on the longest path: shows that the runs got somewhere. */
    readonly mostCommitted: number;
};

type Visit = {
    readonly model: ModelState;
    readonly event: ModelEvent | undefined;
    readonly parent: Visit | undefined;
};

const traceOf = (visit: Visit): readonly ModelEvent[] => {
    const events: ModelEvent[] = [];
    for (let present: Visit | undefined = visit; present; present = present.parent) {
        if (present.event) {
            events.unshift(present.event);
        }
    }
    return events;
};

/** Visits every state that can be reached within the budget, depth first, until an invariant breaks. */
export const exploreModel = (start: ModelState, rules: ModelRules, maximumStates: number): Exploration => {
    const seen = new Set<string>([encodeModel(start)]);
    const stack: Visit[] = [{ model: start, event: undefined, parent: undefined }];
    let mostCommitted = 0;
    for (let visit = stack.pop(); visit; visit = stack.pop()) {
        const { model } = visit;
        mostCommitted = Math.max(mostCommitted, model.committed.size);
        if (model.violation) {
            const { violation } = model;
            return { states: seen.size, exhausted: false, violation, trace: traceOf(visit), mostCommitted };
        }
        for (const event of enumerateEvents(model)) {
            const next = advanceModel(model, event, rules);
            const key = encodeModel(next);
            if (seen.has(key) && !next.violation) {
                continue;
            }
            seen.add(key);
            if (seen.size > maximumStates) {
                return { states: seen.size, exhausted: false, violation: undefined, trace: [], mostCommitted };
            }
            stack.push({ model: next, event, parent: visit });
        }
    }
    return { states: seen.size, exhausted: true, violation: undefined, trace: [], mostCommitted };
};
