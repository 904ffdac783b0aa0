import { servedShares } from "../servedShares";

/** Requests of a route that end one after the other, of which every so many is served. */
const end = (state: typeof servedShares.empty, route: string, count: number, servedEvery: number, nowMs = 0) => {
    let next = state;
    for (let request = 1; request <= count; request += 1) {
        next = servedShares.record(next, route, request % servedEvery === 0, nowMs);
    }
    return next;
};

describe("servedShares", () => {
    test("finds a route that is served far less often than all", () => {
        const state = end(end(servedShares.empty, "releases", 40, 1), "details", 40, 20);
        expect(servedShares.isStarved(state, "details", 0)).toBe(true);
        expect(servedShares.isStarved(state, "releases", 0)).toBe(false);
    });

    test("takes no route for starved that is served hardly less often than others, or of which little is known", () => {
        const short = end(end(servedShares.empty, "releases", 40, 2), "details", 40, 3);
        expect(servedShares.isStarved(short, "details", 0)).toBe(false);
        const few = end(end(servedShares.empty, "releases", 40, 1), "details", 2, 3);
        expect(servedShares.isStarved(few, "details", 0)).toBe(false);
        expect(servedShares.isStarved(few, "unknown", 0)).toBe(false);
    });

    test("forgets a shortage within seconds, and keeps at most 200 routes", () => {
        const state = end(end(servedShares.empty, "releases", 40, 1), "details", 40, 20);
        expect(servedShares.isStarved(state, "details", 5_000)).toBe(false);
        let many = servedShares.empty;
        for (let route = 0; route < 300; route += 1) {
            many = servedShares.record(many, `r-${route}`, true, 0);
        }
        expect(many.routes.size).toBe(200);
    });
});
