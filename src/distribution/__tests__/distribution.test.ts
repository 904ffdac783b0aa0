import * as fc from "fast-check";
import { sampleEntry } from "../../catalogue/__tests__/sampleEntry";
import { ServiceClass } from "../../catalogue/ServiceClass";
import { ServiceContent } from "../../catalogue/ServiceContent";
import { digestOf } from "../../core/digestOf";
import { acceptUpdate } from "../acceptUpdate";
import { computeUpdate } from "../computeUpdate";
import { ConfigurationUpdate } from "../ConfigurationUpdate";
import { emptyResources } from "../emptyResources";
import { resourceDigests } from "../resourceDigests";
import { ResourceState } from "../ResourceState";
import { ServiceResource } from "../ServiceResource";
import { Subscription } from "../Subscription";

const contentOf = (label: string): ServiceContent =>
    sampleEntry({ pools: { main: { backendVersion: label, loadBalancing: "least-outstanding" } } }).content;

const withChangedService = (state: ResourceState, service: string, label: string): ResourceState => {
    const revision = state.sourceRevision + 1;
    const content = contentOf(label);
    const stable = { version: revision, digest: digestOf(content) };
    const resource: ServiceResource = { service, revision, class: ServiceClass.Standard, stable, candidate: undefined };
    return {
        sourceRevision: revision,
        resources: new Map(state.resources).set(service, resource),
        contents: new Map(state.contents).set(stable.digest, content),
    };
};

const subscribe = (services: readonly string[]): Subscription => ({
    services: new Set(services),
    held: new Map(),
    sourceRevision: 0,
});

const updateOf = (state: ResourceState, subscription: Subscription): ConfigurationUpdate => {
    const { update } = computeUpdate(state, subscription);
    if (!update) {
        throw new Error("an update was expected");
    }
    return update;
};

const arbitraryChanges = fc.array(
    fc.record({ service: fc.constantFrom("map", "survey", "stock"), label: fc.constantFrom("v1", "v2", "v3") }),
    { minLength: 1, maxLength: 30 },
);

describe("a configuration update", () => {
    test("contains only services that the subscriber wants", () => {
        const state = withChangedService(withChangedService(emptyResources, "map", "v1"), "stock", "v1");
        const { resources } = updateOf(state, subscribe(["map"]));
        expect(resources.map(({ service }) => service)).toEqual(["map"]);
    });

    test("is as small after hundreds of missed changes as after one", () => {
        let state = withChangedService(emptyResources, "map", "v1");
        const { subscription } = computeUpdate(state, subscribe(["map"]));
        for (let change = 0; change < 500; change += 1) {
            state = withChangedService(state, "map", change % 2 === 0 ? "v2" : "v3");
        }
        const update = updateOf(state, subscription);
        expect(update.resources).toHaveLength(1);
        expect(update.contents).toHaveLength(1);
    });

    test("contains no content that the subscriber holds already", () => {
        const state = withChangedService(emptyResources, "map", "v1");
        const { subscription } = computeUpdate(state, subscribe(["map"]));
        expect(updateOf(withChangedService(state, "map", "v1"), subscription).contents).toEqual([]);
    });

    test("is not sent by a parent that lags behind the child", () => {
        const state = withChangedService(emptyResources, "map", "v1");
        const ahead = { ...subscribe(["map"]), sourceRevision: 9 };
        expect(computeUpdate(state, ahead).update).toBeUndefined();
    });

    test("never lowers a revision when it arrives late or twice", () => {
        fc.assert(
            fc.property(arbitraryChanges, fc.array(fc.nat(), { minLength: 1, maxLength: 60 }), (list, order) => {
                const updates: ConfigurationUpdate[] = [];
                let source = emptyResources;
                for (const { label, service } of list) {
                    source = withChangedService(source, service, label);
                    updates.push(updateOf(source, subscribe(["map", "survey", "stock"])));
                }
                let held = emptyResources;
                for (const choice of order) {
                    const next = acceptUpdate(held, updates[choice % updates.length]).state;
                    for (const [service, { revision }] of held.resources) {
                        expect(next.resources.get(service)?.revision).toBeGreaterThanOrEqual(revision);
                    }
                    expect(next.sourceRevision).toBeGreaterThanOrEqual(held.sourceRevision);
                    held = next;
                }
            }),
            { seed: 3, numRuns: 300 },
        );
    });

    test("never leaves a resource without its contents, whichever contents are lost on the way", () => {
        fc.assert(
            fc.property(arbitraryChanges, fc.array(fc.boolean(), { minLength: 40, maxLength: 40 }), (list, lost) => {
                let source = emptyResources;
                let held = emptyResources;
                list.forEach(({ label, service }, index) => {
                    source = withChangedService(source, service, label);
                    const update = updateOf(source, subscribe(["map", "survey", "stock"]));
                    const contents = update.contents.filter((_, position) => !lost[(index + position) % lost.length]);
                    held = acceptUpdate(held, { ...update, contents }).state;
                    for (const resource of held.resources.values()) {
                        resourceDigests(resource).forEach((digest) => expect(held.contents.has(digest)).toBe(true));
                    }
                });
            }),
            { seed: 4, numRuns: 300 },
        );
    });

    test("is rejected completely for a service whose content does not match its digest", () => {
        const update = updateOf(withChangedService(emptyResources, "map", "v1"), subscribe(["map"]));
        const altered = { ...update, contents: [{ ...update.contents[0], content: contentOf("evil") }] };
        const { rejected, state } = acceptUpdate(emptyResources, altered);
        expect(rejected).toHaveLength(1);
        expect(state).toEqual(emptyResources);
    });

    test("is rejected if a route refers to a pool that the content lacks", () => {
        const content: ServiceContent = { ...contentOf("v1"), pools: {} };
        const digest = digestOf(content);
        const stable = { version: 1, digest };
        const resource: ServiceResource = {
            service: "map",
            revision: 1,
            class: ServiceClass.Bulk,
            stable,
            candidate: undefined,
        };
        const update = { sourceRevision: 1, resources: [resource], contents: [{ digest, content }] };
        expect(acceptUpdate(emptyResources, update).rejected[0].reason).toMatch(/not held/);
    });
});
