import * as fc from "fast-check";
import { decodeMemberRecords } from "../decodeMemberRecords";
import { EndpointState } from "../EndpointState";
import { MemberRecord } from "../MemberRecord";
import { membershipOperations } from "../membershipOperations";
import { MemberStatus } from "../MemberStatus";

const NOW_MS = 1_778_367_522_000;

const record: MemberRecord = {
    id: "node-2",
    zone: "a",
    incarnation: NOW_MS - 1_000,
    sequence: 3,
    status: MemberStatus.Alive,
    peerAddress: "10.0.0.2:7",
    inboundAddress: "10.0.0.2:7",
    endpoints: [{
        service: "canopy-map",
        backendVersion: "v1",
        slots: 4,
        state: EndpointState.Ready,
        instanceId: "i-2",
        bornMs: NOW_MS - 9_000,
        coldRemainingMs: 0,
    }],
};

const own: MemberRecord = { ...record, id: "node-1", peerAddress: "10.0.0.1:7", inboundAddress: "", endpoints: [] };

describe("member records", () => {
    test("are read with the fields of later releases", () => {
        const later = { ...record, weight: 3 };
        expect(decodeMemberRecords([later], NOW_MS)).toEqual({ records: [later], refused: 0 });
        expect(decodeMemberRecords(own, NOW_MS)).toEqual({ records: [own], refused: 0 });
    });

    // Guards against an odd record among those of sound members, which every member stores and passes on.
    test.each([
        ["a port out of range", { peerAddress: "10.0.0.2:70000" }],
        ["an incarnation that no later start exceeds", { incarnation: Number.MAX_SAFE_INTEGER }],
        ["a sequence that is not a whole number", { sequence: 1e308 }],
        ["an unknown status", { status: 9 }],
        ["no endpoints", { endpoints: undefined }],
        ["endless slots", { endpoints: [{ ...record.endpoints[0], slots: 1e15 }] }],
        ["an endless warm-up", { endpoints: [{ ...record.endpoints[0], coldRemainingMs: Number.POSITIVE_INFINITY }] }],
        ["an endpoint that is no object", { endpoints: [7] }],
    ])("with %s are left out, the others are kept", (_case, change) => {
        const { records, refused } = decodeMemberRecords([{ ...record, ...change }, own], NOW_MS);
        expect(records).toEqual([own]);
        expect(refused).toBe(1);
    });

    test("never end the process or displace a sound one, whatever they hold", () => {
        const field = fc.constantFrom(...Object.keys(record));
        const odd = fc.dictionary(field, fc.anything({ maxDepth: 4 }));
        fc.assert(
            fc.property(fc.array(fc.oneof(odd.map((change) => ({ ...record, ...change })), fc.anything())), (raw) => {
                const { records } = decodeMemberRecords(raw, NOW_MS);
                const state = membershipOperations.create(own, 0);
                const next = membershipOperations.merge(state, records, 0).state;
                expect(membershipOperations.ownRecord(next).status).toBe(MemberStatus.Alive);
                expect(Number.isSafeInteger(next.digest)).toBe(true);
            }),
            { seed: 1, numRuns: 500 },
        );
    });
});
