import { createServer, Server } from "node:net";
import { SystemClock } from "../../core/SystemClock";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { CrashEvidenceTask } from "../../crashes/CrashEvidenceTask";
import { EndpointState } from "../../membership/EndpointState";
import { AttemptOutcome } from "../AttemptOutcome";
import { InboundCrashes } from "../InboundCrashes";
import { LocalBackend } from "../LocalBackend";
import { proxyHeaders } from "../proxyHeaders";

describe("InboundCrashes", () => {
    let server: Server;
    let backend: LocalBackend;
    let evidence: CrashEvidenceTask;
    let crashes: InboundCrashes;

    beforeEach(async () => {
        server = createServer();
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
        const bound = server.address();
        const clock = new SystemClock();
        evidence = createCrashEvidence({ clock });
        crashes = new InboundCrashes({ nodeId: "node-1", clock, evidence });
        backend = {
            service: "map",
            backendVersion: "v1",
            slots: 4,
            state: EndpointState.Ready,
            address: `127.0.0.1:${typeof bound === "object" && bound ? bound.port : 0}`,
            renewedAtMs: 0,
            drainingSinceMs: undefined,
        };
    });

    afterEach(() => {
        server.close();
    });

    const begin = (fingerprint: string) => crashes.begin({ [proxyHeaders.fingerprint]: fingerprint }, backend);
    const crash = () => new Promise((resolve) => server.close(resolve));

    // Guards against refusing a request that is sent so often that it runs whenever a backend server crashes.
    test("reports the requests that run when the backend server crashes, except those that it completed before", async () => {
        await begin("often")(AttemptOutcome.Answered);
        const [often, once] = [begin("often"), begin("once")];
        await crash();
        const reports = await Promise.all([often(AttemptOutcome.Broken), once(AttemptOutcome.Broken)]);
        expect(reports).toMatchObject([undefined, { fingerprint: "once", crashes: [{ rank: 1 }] }]);
        // What the previous start completed says nothing about the next one.
        expect(await begin("often")(AttemptOutcome.Broken)).toMatchObject({ fingerprint: "often" });
    });

    test("reports nothing while the backend server accepts connections, or if it was draining", async () => {
        await begin("f")(AttemptOutcome.Broken);
        backend = { ...backend, drainingSinceMs: 1 };
        const end = begin("f");
        await crash();
        await end(AttemptOutcome.Broken);
        expect(evidence.size).toBe(0);
    });

    test("gives the requests that run together one start, and those after the next crash another one", async () => {
        const ends = [begin("f"), begin("g")];
        await crash();
        const together = await Promise.all(ends.map((end) => end(AttemptOutcome.Broken)));
        const later = await begin("h")(AttemptOutcome.Broken);
        const starts = [...together, later].map((report) => report?.crashes[0].backend);
        expect(starts[0]).toBe(starts[1]);
        expect(starts[2]).not.toBe(starts[0]);
    });
});
