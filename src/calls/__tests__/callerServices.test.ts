import { callerServices } from "../callerServices";

type Requests = readonly { readonly route: string; readonly from: readonly string[]; readonly count: number; }[];

const learn = (requests: Requests) => {
    let state = callerServices.empty;
    for (const { count, from, route } of requests) {
        for (let request = 0; request < count; request += 1) {
            state = callerServices.record(state, route, from[request % from.length]);
        }
    }
    return state;
};

const services = ["desk", "dispatch", "store"];

describe("callerServices", () => {
    test("finds the route that only backend servers of one service call", () => {
        const state = learn([
            { route: "details", from: ["desk"], count: 100 },
            { route: "uploads", from: services, count: 30 },
        ]);
        expect(callerServices.isNested(state, "details")).toBe(true);
        expect(callerServices.isNested(state, "uploads")).toBe(false);
    });

    // Guards against short reads of callers that are served before all other requests until everything is late.
    test("does not take a route for nested that callers on hosts of all services use", () => {
        const state = learn([
            { route: "reads", from: services, count: 300 },
            { route: "writes", from: services, count: 100 },
        ]);
        expect(callerServices.isNested(state, "reads")).toBe(false);
    });

    // Guards against callers' requests that get the priority of others, on a host that has just started and whose callers
    // are nearly all on hosts of one service.
    test("does not take a route for nested whose few requests come from one service by chance", () => {
        const mostlyDesk = ["desk", "desk", "desk", "desk", "desk", "desk", "desk", "dispatch"];
        const state = learn([
            { route: "reads", from: mostlyDesk, count: 80 },
            { route: "orders", from: ["desk"], count: 40 },
        ]);
        expect(callerServices.isNested(state, "orders")).toBe(false);
        expect(callerServices.isNested(
            learn([
                { route: "reads", from: mostlyDesk, count: 80 },
                { route: "details", from: ["desk"], count: 200 },
            ]),
            "details",
        )).toBe(true);
    });

    test("takes no route for nested any more once a request comes from another service", () => {
        const state = learn([
            { route: "reads", from: services, count: 60 },
            { route: "exports", from: ["desk"], count: 1_200 },
            { route: "exports", from: services, count: 3 },
        ]);
        expect(callerServices.isNested(state, "exports")).toBe(false);
    });

    test("takes no route for nested after a few requests, or if all of them come from one service", () => {
        expect(callerServices.isNested(
            learn([
                { route: "details", from: ["desk"], count: 10 },
                { route: "uploads", from: services, count: 30 },
            ]),
            "details",
        )).toBeUndefined();
        expect(callerServices.isNested(learn([{ route: "reads", from: ["desk"], count: 100 }]), "reads")).toBe(false);
    });

    test("keeps at most 200 routes", () => {
        const state = learn(
            Array.from({ length: 300 }, (_, index) => ({ route: `r-${index}`, from: ["desk"], count: 1 })),
        );
        expect(state.size).toBe(200);
    });
});
