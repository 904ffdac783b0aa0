import * as fc from "fast-check";
import { EndpointState } from "../../membership/EndpointState";
import { announcementSchema } from "../announcementSchema";
import { HostServer } from "../HostServer";

const announcement = {
    service: "map",
    backendVersion: "v1",
    address: "127.0.0.1:7001",
    slots: 4,
    state: EndpointState.Ready,
};

describe("an announcement to the node of its host", () => {
    // Guards against an entry of another writer that is used, or that ends the process.
    test.each([
        ["a port out of range", { address: "127.0.0.1:65536" }],
        ["no port", { address: "127.0.0.1:" }],
        ["endless slots", { slots: 1e308 }],
        ["no slots", { slots: 0 }],
        ["a nested service", { service: [[["map"]]] }],
        ["an unknown state", { state: "asleep" }],
        ["an endless version", { backendVersion: "v".repeat(10_000) }],
    ])("with %s is refused, and the server goes on", async (_case, change) => {
        const announced: unknown[] = [];
        const server = new HostServer({
            secret: "",
            announce: (accepted) => announced.push(accepted),
            status: () => ({}),
            members: () => ({}),
            drain: () => undefined,
        });
        const { host, port } = await server.listen({ host: "127.0.0.1", port: 0 });
        const send = async (body: string): Promise<number> => {
            const response = await fetch(`http://${host}:${port}/v1/backends`, { method: "POST", body });
            await response.text();
            return response.status;
        };
        expect(await send(JSON.stringify({ ...announcement, ...change }))).toBe(400);
        expect(await send("[".repeat(16_000))).toBe(400);
        expect(announced).toEqual([]);
        expect(await send(JSON.stringify(announcement))).toBe(200);
        server.dispose();
    });

    test("holds only what a backend server can mean, whatever its fields are", () => {
        const field = fc.constantFrom(...Object.keys(announcement));
        fc.assert(
            fc.property(fc.dictionary(field, fc.anything({ maxDepth: 5 })), (change) => {
                const { data } = announcementSchema.safeParse({ ...announcement, ...change });
                expect(data === undefined || (data.slots >= 1 && data.slots <= 10_000)).toBe(true);
                expect(data === undefined || /^[\d.:a-f]+:\d{1,5}$/.test(data.address)).toBe(true);
                expect(data === undefined || data.service.length <= 63).toBe(true);
            }),
            { seed: 1, numRuns: 1_000 },
        );
    });
});
