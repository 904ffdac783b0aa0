import { EndpointState } from "../../membership/EndpointState";
import { MemberRecord } from "../../membership/MemberRecord";
import { MemberStatus } from "../../membership/MemberStatus";
import { LeavingBackends } from "../LeavingBackends";
import { readyBackends } from "../readyBackends";

const member = (bornMs: number): MemberRecord => ({
    id: "node-1",
    zone: "a",
    incarnation: 1,
    sequence: 1,
    status: MemberStatus.Alive,
    peerAddress: "10.0.0.1:7",
    inboundAddress: "10.0.0.1:7",
    endpoints: [{
        service: "canopy-map",
        backendVersion: "v1",
        slots: 4,
        state: EndpointState.Ready,
        instanceId: "i-1",
        bornMs,
    }],
});

describe("LeavingBackends", () => {
    const idsOf = (leaving: LeavingBackends, bornMs: number, nowMs: number) =>
        [...readyBackends([member(bornMs)], nowMs, new Map(), (backend) => leaving.has(backend, nowMs)).values()]
            .flat()
            .map(({ instanceId }) => instanceId);

    // Guards against requests to a leaving backend server that a restarted node announces as ready again.
    test("leaves out a backend server that was known to leave, but not a later start of it", () => {
        const leaving = new LeavingBackends();
        expect(idsOf(leaving, 1_000, 5)).toEqual(["i-1"]);
        expect(leaving.add({ instanceId: "i-1", bornMs: 1_000 }, 5)).toBe(true);
        expect(leaving.add({ instanceId: "i-1", bornMs: 1_000 }, 6)).toBe(false);
        expect(idsOf(leaving, 1_000, 20_000)).toEqual([]);
        expect(idsOf(leaving, 2_000, 20_000)).toEqual(["i-1"]);
    });

    test("forgets a start after a minute", () => {
        const leaving = new LeavingBackends();
        leaving.add({ instanceId: "i-1", bornMs: 0 }, 0);
        expect(leaving.has({ instanceId: "i-1", bornMs: 0 }, 60_000)).toBe(true);
        expect(leaving.has({ instanceId: "i-1", bornMs: 0 }, 60_001)).toBe(false);
    });
});
