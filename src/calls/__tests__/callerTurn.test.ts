import { callerTurn } from "../callerTurn";

const hosts = Array.from({ length: 200 }, (_, index) => `host-${index}`);

describe("callerTurn", () => {
    test("stays the same for the calls of a request, and changes later", () => {
        expect(callerTurn("host-1", 5_010)).toBe(callerTurn("host-1", 5_900));
        expect(callerTurn("host-1", 5_010)).not.toBe(callerTurn("host-1", 6_100));
    });

    test("gives a share of the hosts their turn at a time, and each host in the long run", () => {
        const inTurn = (nowMs: number): readonly string[] => hosts.filter((host) => callerTurn(host, nowMs) < 0.2);
        expect(inTurn(0).length).toBeGreaterThan(20);
        expect(inTurn(0).length).toBeLessThan(60);
        const seconds = Array.from({ length: 100 }, (_, second) => inTurn(second * 1_000));
        expect(new Set(seconds.flat()).size).toBe(hosts.length);
    });
});
