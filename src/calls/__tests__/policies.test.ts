import { sampleConfiguration } from "../../configuration/__tests__/sampleConfiguration";
import { RandomSource } from "../../core/RandomSource";
import { ServiceMove } from "../../deployment/ServiceMove";
import { ServiceMoveState } from "../../deployment/ServiceMoveState";
import { BackendChoice } from "../BackendChoice";
import { BackendDirectory } from "../BackendDirectory";
import { BackendView } from "../BackendView";
import { CallerPatience } from "../CallerPatience";
import { chooseService } from "../chooseService";
import { localInstances } from "../localInstances";
import { pickBackend } from "../pickBackend";
import { repeatBudget } from "../repeatBudget";
import { slotQueue } from "../slotQueue";
import { splitByZone } from "../splitByZone";

const choice = (nodeId: string, change: Partial<BackendChoice> = {}): BackendChoice => ({
    nodeId,
    address: `${nodeId}:7`,
    zone: "a",
    service: "canopy-map",
    version: "v1",
    instanceId: `i-${nodeId}`,
    slots: 4,
    warmAtMs: 0,
    ...change,
});

const view = (change: Partial<BackendView> = {}): BackendView => ({
    outstanding: 0,
    others: 0,
    serviceMs: 100,
    failureShare: 0,
    unreachableInARow: 0,
    heardMs: 1_000,
    ...change,
});

const pick = (
    choices: readonly BackendChoice[],
    views: Readonly<Record<string, BackendView>>,
    tried: string[] = [],
    targetRemainingMs = 200,
    usualBytes = 5_000,
) => pickBackend({
    choices: splitByZone(choices, "a"),
    viewOf: ({ nodeId }) => views[nodeId] ?? view(),
    tried: new Set(tried),
    nowMs: 1_000,
    targetRemainingMs,
    usualBytes,
    random: new RandomSource(1),
})?.nodeId;

describe("the choice of a backend server", () => {
    const two = [choice("one"), choice("two")];

    test("goes where an answer is expected soonest", () => {
        expect(pick(two, { one: view({ serviceMs: 300 }) })).toBe("two");
        expect(pick(two, { one: view({ outstanding: 3, others: 3 }) })).toBe("two");
    });

    test("avoids one that fails fast although it looks idle", () => {
        const grey = view({ serviceMs: 5, failureShare: 0.5 });
        expect(pick(two, { one: grey, two: view({ outstanding: 3 }) })).toBe("two");
    });

    test("stays in the own zone until crossing saves time", () => {
        const across = [choice("one"), choice("far", { zone: "b" })];
        expect(pick(across, { one: view({ outstanding: 2 }) })).toBe("one");
        expect(pick(across, { one: view({ outstanding: 9 }) })).toBe("far");
    });

    test("does not cross zones for an answer that is soon enough in the own one", () => {
        const across = [choice("slow"), choice("far", { zone: "b" })];
        const views = { slow: view({ serviceMs: 250 }), far: view({ serviceMs: 100 }) };
        expect(pick(across, views, [], 1_000)).toBe("slow");
        expect(pick(across, views, [], 300)).toBe("far");
    });

    test("leaves the own zone before its slots are full", () => {
        const across = [choice("near", { slots: 12 }), choice("far", { zone: "b", slots: 12 })];
        const views = (outstanding: number) => ({ near: view({ outstanding }) });
        expect(pick(across, views(6), [], 1_000, 1_000)).toBe("near");
        expect(pick(across, views(10), [], 1_000, 1_000)).toBe("far");
    });

    test("crosses zones more readily for few bytes", () => {
        const across = [choice("slow"), choice("far", { zone: "b" })];
        const views = { slow: view({ serviceMs: 180 }), far: view({ serviceMs: 100 }) };
        expect(pick(across, views, [], 300, 20_000)).toBe("slow");
        expect(pick(across, views, [], 300, 400)).toBe("far");
    });

    test("does not forget one that was not heard of for long, but leaves it to few requests", () => {
        const views: Readonly<Record<string, BackendView>> = {
            one: view({ heardMs: 5_000 }),
            fresh: view({ heardMs: 0, serviceMs: undefined }),
        };
        const random = new RandomSource(3);
        let trials = 0;
        for (let request = 0; request < 1_000; request += 1) {
            const picked = pickBackend({
                choices: splitByZone([choice("one"), choice("fresh", { warmAtMs: 9_000 })], "a"),
                viewOf: ({ nodeId }) => views[nodeId],
                tried: new Set(),
                nowMs: 5_000,
                targetRemainingMs: 200,
                usualBytes: 0,
                random,
            });
            trials += picked?.nodeId === "fresh" ? 1 : 0;
        }
        expect(trials).toBeGreaterThan(10);
        expect(trials).toBeLessThan(100);
    });

    test("leaves a node alone that could not be reached, but not if there is no other", () => {
        const lost = view({ unreachableInARow: 2, serviceMs: 1 });
        expect(pick(two, { one: lost })).toBe("two");
        expect(pick([choice("one")], { one: lost })).toBe("one");
    });

    test("spares one in slow start", () => {
        expect(pick([choice("one", { warmAtMs: 2_000 }), choice("two")], {})).toBe("two");
    });

    test("takes none twice", () => {
        expect(pick(two, {}, ["one", "two"])).toBeUndefined();
    });
});

describe("the service that a request goes to", () => {
    const weighted = (weights: readonly number[]) => ({
        ...sampleConfiguration(1).routes[0],
        destinations: weights.map((weight, index) => ({ service: `s${index}`, weight })),
    });

    test("follows the weights of its route", () => {
        const random = new RandomSource(1);
        const counts = new Map<string, number>();
        for (let request = 0; request < 2_000; request += 1) {
            const service = chooseService(weighted([90, 0, 10]), random.fraction());
            counts.set(service, (counts.get(service) ?? 0) + 1);
        }
        expect(counts.get("s1")).toBeUndefined();
        expect((counts.get("s2") ?? 0) / 2_000).toBeCloseTo(0.1, 1);
    });

    test("is the only one of a route without weights", () => {
        expect(chooseService(sampleConfiguration(1).routes[0], 0.999)).toBe("canopy-map");
    });
});

describe("the version that a request goes to", () => {
    const choices = [choice("old"), choice("new", { version: "v2" })];
    const move = (state: ServiceMoveState, share: number): ServiceMove => ({
        service: "canopy-map",
        targetVersion: "v2",
        state,
        share,
        durationMs: 16_000,
        acceptedAtMs: 0,
        reason: "",
    });
    const names = (at: ServiceMove, fraction: number, from = choices) => {
        const directory = new BackendDirectory("a");
        directory.follow(new Map([["canopy-map", from]]));
        directory.followMoves(new Map([["canopy-map", at]]));
        const { others, own } = directory.choose("canopy-map", fraction);
        return [...own, ...others].map(({ nodeId }) => nodeId);
    };

    test("is the target for the move's share only", () => {
        expect(names(move(ServiceMoveState.Running, 0.05), 0.04)).toEqual(["new"]);
        expect(names(move(ServiceMoveState.Running, 0.05), 0.05)).toEqual(["old"]);
        expect(names(move(ServiceMoveState.Running, 0), 0)).toEqual(["old"]);
    });

    test("is never the target once the move was taken back, even if nothing else is left", () => {
        expect(names(move(ServiceMoveState.TakenBack, 1), 0)).toEqual(["old"]);
        expect(names(move(ServiceMoveState.TakenBack, 1), 0, [choices[1]])).toEqual([]);
    });

    test("is the target alone once the move has finished", () => {
        expect(names(move(ServiceMoveState.Finished, 1), 0.99)).toEqual(["new"]);
        expect(names(move(ServiceMoveState.Finished, 1), 0.99, [choices[0]])).toEqual(["old"]);
    });

    test("follows each change of the members and of the moves", () => {
        const directory = new BackendDirectory("a");
        expect(directory.choose("canopy-map", 0)).toEqual({ own: [], others: [] });
        directory.follow(new Map([["canopy-map", choices]]));
        expect(directory.choose("canopy-map", 0).own).toEqual(choices);
        directory.followMoves(new Map([["canopy-map", move(ServiceMoveState.Running, 0.5)]]));
        expect(directory.choose("canopy-map", 0.4).own).toEqual([choices[1]]);
        directory.follow(new Map([["canopy-map", [choice("far", { zone: "b" })]]]));
        expect(directory.choose("canopy-map", 0.4)).toEqual({ own: [], others: [choice("far", { zone: "b" })] });
    });
});

describe("the slots of a backend server", () => {
    const call = (key: number, deadlineMs: number, priority = 1, targetAtMs = deadlineMs) => ({
        key,
        route: "tiles",
        priority,
        arrivedMs: 0,
        targetAtMs,
        deadlineMs,
    });
    /** All slots are busy, and requests are known to take 50 ms. */
    const filled = (slots: number, known = 5) => {
        let state = slotQueue.create(slots);
        for (let sample = 0; sample < known; sample += 1) {
            state = slotQueue.release(state, "tiles", 50, 0).state;
        }
        for (let key = 0; key < slots; key += 1) {
            state = slotQueue.offer(state, call(key, 1_000), 0).state;
        }
        return state;
    };

    test("take as many requests as there are and let the others wait", () => {
        const state = filled(2);
        expect(state.active).toBe(2);
        expect(slotQueue.offer(state, call(9, 1_000), 0).kind).toBe("wait");
    });

    test("refuse at once what could not end in time", () => {
        const offer = slotQueue.offer(filled(2), call(9, 60), 0);
        expect(offer.kind).toBe("refuse");
        expect(offer.kind === "refuse" && offer.retryAfterMs).toBeGreaterThan(0);
    });

    test("go to the most urgent request first", () => {
        let state = filled(1);
        state = slotQueue.offer(state, call(8, 1_000, 2), 0).state;
        state = slotQueue.offer(state, call(9, 1_000, 0), 0).state;
        expect(slotQueue.release(state, "tiles", 50, 10).started).toEqual([9]);
    });

    test("go first to what can still be on time, even if something more urgent is late already", () => {
        let state = filled(1);
        state = slotQueue.offer(state, call(8, 1_000, 0, 20), 0).state;
        state = slotQueue.offer(state, call(9, 1_000, 2, 500), 0).state;
        expect(slotQueue.release(state, "tiles", 50, 10).started).toEqual([9]);
    });

    test("refuse a late request as soon as those that can be on time leave it no room", () => {
        let state = filled(1);
        state = slotQueue.offer(state, call(8, 300, 0, 20), 0).state;
        for (let key = 10; key < 14; key += 1) {
            state = slotQueue.offer(state, call(key, 1_000, 2, 900), 0).state;
        }
        expect(slotQueue.advance(state, 120).expired).toEqual([8]);
    });

    test("do not keep a caller waiting for an answer that is late already", () => {
        let state = filled(2);
        for (let key = 10; key < 15; key += 1) {
            state = slotQueue.offer(state, call(key, 1_000), 0).state;
        }
        expect(slotQueue.offer(state, call(20, 1_000, 1, 10), 0).kind).toBe("refuse");
        expect(slotQueue.offer(filled(2), call(20, 1_000, 1, 10), 0).kind).toBe("wait");
    });

    test("give up a late request that was passed over for long, while there is time to serve it elsewhere", () => {
        let state = slotQueue.offer(filled(1), call(9, 1_000, 1, 60), 0).state;
        expect(slotQueue.advance(state, 40).expired).toEqual([]);
        state = slotQueue.advance(state, 40).state;
        expect(slotQueue.advance(state, 70).expired).toEqual([9]);
    });

    test("keep a request waiting while nothing is known of how long requests take", () => {
        const state = slotQueue.offer(filled(1, 0), call(9, 2_000, 1, 60), 0).state;
        const progress = slotQueue.release(state, "tiles", 300, 300);
        expect(progress.started).toEqual([9]);
        expect(progress.state.serviceMs).toBe(300);
    });

    test("learn how long the requests of a route take", () => {
        let state = filled(1);
        for (let sample = 0; sample < 60; sample += 1) {
            state = slotQueue.release(state, "orders", 400, 0).state;
        }
        const long = { ...call(9, 350), route: "orders" };
        expect(slotQueue.offer({ ...state, active: 1 }, long, 0).kind).toBe("refuse");
    });

    test("give up a request whose time is over before it starts", () => {
        const state = slotQueue.offer(filled(1), call(9, 200), 0).state;
        const progress = slotQueue.release(state, "tiles", 50, 190);
        expect(progress.expired).toEqual([9]);
        expect(progress.state.active).toBe(0);
    });
});

describe("a caller that has less time left than others on its route", () => {
    const learned = (remaining: readonly number[]) => {
        const patience = new CallerPatience();
        remaining.forEach((remainingMs) => patience.elapsedMs("tiles", remainingMs));
        return patience;
    };

    test("has tried before", () => {
        const patience = learned(Array<number>(12).fill(3_000));
        expect(patience.elapsedMs("tiles", 2_200)).toBe(800);
        expect(patience.elapsedMs("tiles", 2_995)).toBe(0);
        expect(patience.elapsedMs("orders", 2_200)).toBe(0);
    });

    test("is not taken for one on a route of calls within other requests", () => {
        const random = new RandomSource(1);
        const patience = learned(Array.from({ length: 100 }, () => random.integer(100, 2_000)));
        expect(patience.elapsedMs("tiles", 900)).toBe(0);
    });
});

describe("the budget of repetitions", () => {
    const allowance = { ratio: 0.1, windowMs: 10_000, slack: 1 };

    test("allows a share of the requests of a window, whenever they come", () => {
        let state = repeatBudget.empty;
        for (let request = 0; request < 100; request += 1) {
            state = repeatBudget.onRequest(state, allowance, request * 50);
        }
        let repeats = 0;
        while (repeatBudget.mayRepeat(state, allowance, 5_000)) {
            state = repeatBudget.onRepeat(state, allowance, 5_000);
            repeats += 1;
        }
        expect(repeats).toBe(11);
        expect(repeatBudget.mayRepeat(state, allowance, 9_000)).toBe(false);
    });
});

describe("a backend server's word", () => {
    const said = (change: Partial<Parameters<typeof localInstances.announce>[1]> = {}) => ({
        id: "i-1",
        service: "canopy-map",
        version: "v1",
        address: "127.0.0.1:9",
        slots: 4,
        bornMs: 1_000,
        sequence: 5,
        leaving: false,
        coldRemainingMs: 0,
        ...change,
    });
    const present = localInstances.announce(undefined, said(), 0);

    test("counts only if it is newer than what is known", () => {
        expect(localInstances.announce(present, said({ slots: 9 }), 1)).toBe(present);
        expect(localInstances.announce(present, said({ slots: 9, sequence: 6 }), 1)?.slots).toBe(9);
    });

    test("of an earlier start at the same address does not bring it back", () => {
        expect(localInstances.announce(present, said({ id: "i-0", bornMs: 900, sequence: 99 }), 1)).toBe(present);
    });

    test("of a new start under the same id counts although its sequence begins anew", () => {
        expect(localInstances.announce(present, said({ bornMs: 2_000, sequence: 1, slots: 7 }), 1)?.slots).toBe(7);
    });

    test("that it leaves is final for that start", () => {
        const leaving = localInstances.announce(present, said({ sequence: 6, leaving: true }), 100);
        expect(leaving?.leavingSinceMs).toBe(100);
        expect(localInstances.announce(leaving, said({ sequence: 7 }), 200)?.leavingSinceMs).toBe(100);
        expect(localInstances.announce(leaving, said({ bornMs: 2_000 }), 300)?.leavingSinceMs).toBeUndefined();
    });

    test("that it leaves holds also if it was said before anything else was heard of that start", () => {
        const departure = { id: "i-1", bornMs: 1_000, sinceMs: 50 };
        expect(localInstances.announce(undefined, said(), 100, departure)?.leavingSinceMs).toBe(50);
        expect(localInstances.announce(undefined, said({ leaving: true }), 100, departure)?.leavingSinceMs).toBe(50);
        const unnamed = { ...departure, bornMs: 0 };
        expect(localInstances.announce(undefined, said(), 100, unnamed)?.leavingSinceMs).toBe(50);
        const next = said({ bornMs: 2_000 });
        expect(localInstances.announce(undefined, next, 100, departure)?.leavingSinceMs).toBeUndefined();
        expect(localInstances.announce(undefined, said({ id: "i-2" }), 100, departure)?.leavingSinceMs).toBeUndefined();
    });

    test("that it leaves, as the first word of a start, was said to an earlier process of the node: nothing is sent", () => {
        const heard = localInstances.announce(undefined, said({ leaving: true }), 100);
        expect(heard?.leavingSinceMs).toBe(Number.NEGATIVE_INFINITY);
        const again = localInstances.announce(heard, said({ leaving: true, sequence: 9 }), 200);
        expect(again?.leavingSinceMs).toBe(Number.NEGATIVE_INFINITY);
    });

    test("that it leaves counts only from that backend server", () => {
        expect(localInstances.leave(present, "i-2", 0, 100)).toBe(present);
        expect(localInstances.leave(present, "i-1", 900, 100)).toBe(present);
        expect(localInstances.leave(present, "i-1", 1_000, 100)?.leavingSinceMs).toBe(100);
    });
});
