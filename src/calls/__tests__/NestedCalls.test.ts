import { RandomSource } from "../../core/RandomSource";
import { NestedCalls } from "../NestedCalls";
import { parentRoutes } from "../parentRoutes";

const priorities: Readonly<Record<string, number>> = { reads: 2, orders: 1, exports: 3, searches: 0 };

/** A backend server on which other requests run when each of its calls arrives, with these probabilities. */
const learn = (parents: readonly string[], others: Readonly<Record<string, number>>, calls = 200) => {
    const random = new RandomSource(1);
    let state = parentRoutes.empty;
    for (let call = 0; call < calls; call += 1) {
        const beside = Object.keys(others).filter((route) => random.fraction() < others[route]);
        state = parentRoutes.record(state, "details", [...new Set([random.pick(parents), ...beside])]);
    }
    return parentRoutes.parentsOf(state, "details");
};

describe("parentRoutes", () => {
    test("finds the route whose requests run at each call, among others that run most of the time", () => {
        expect(learn(["reads"], { orders: 0.85, exports: 0.7 })).toEqual(["reads"]);
    });

    test("finds several parents", () => {
        expect([...learn(["reads", "searches"], { orders: 0.3 })].sort()).toEqual(["reads", "searches"]);
    });

    test("knows no parent after a few calls, or if many calls arrive while nothing runs", () => {
        expect(learn(["reads"], {}, 10)).toEqual([]);
        let state = parentRoutes.empty;
        for (let call = 0; call < 100; call += 1) {
            state = parentRoutes.record(state, "details", call % 5 === 0 ? [] : ["reads"]);
        }
        expect(parentRoutes.parentsOf(state, "details")).toEqual([]);
    });

    test("keeps at most 200 routes", () => {
        let state = parentRoutes.empty;
        for (let route = 0; route < 300; route += 1) {
            state = parentRoutes.record(state, `r-${route}`, ["reads"]);
        }
        expect(state.size).toBe(200);
    });
});

describe("NestedCalls", () => {
    const call = (nested: NestedCalls, calls: number): number => {
        let priority = 0;
        for (let count = 0; count < calls; count += 1) {
            priority = nested.priorityOf("details", 1);
        }
        return priority;
    };

    // Guards against nested calls that are served before requests that are more urgent than what they are made for.
    test("gives a nested call the priority of the request that runs, and others that of their route", () => {
        const nested = new NestedCalls();
        nested.begin("reads", priorities.reads);
        expect(call(nested, 50)).toBe(1);
        nested.learn("details", true);
        expect(call(nested, 50)).toBe(2);
        nested.learn("details", false);
        expect(call(nested, 1)).toBe(1);
    });

    test("gives it the priority of the most urgent of several possible parents", () => {
        const nested = new NestedCalls();
        nested.learn("details", true);
        for (let round = 0; round < 50; round += 1) {
            const parent = round % 2 === 0 ? "reads" : "searches";
            const end = nested.begin(parent, priorities[parent]);
            call(nested, 1);
            end();
        }
        const endReads = nested.begin("reads", priorities.reads);
        expect(call(nested, 1)).toBe(2);
        const endSearch = nested.begin("searches", priorities.searches);
        expect(call(nested, 1)).toBe(0);
        endSearch();
        expect(call(nested, 1)).toBe(2);
        endReads();
        expect(call(nested, 1)).toBe(1);
    });
});
