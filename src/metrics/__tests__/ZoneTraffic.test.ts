import { Registry } from "prom-client";
import { DisposableStore } from "../../core/DisposableStore";
import { EventLog } from "../../core/EventLog";
import { HybridClock } from "../../core/HybridClock";
import { SystemClock } from "../../core/SystemClock";
import { MemberRecord } from "../../membership/MemberRecord";
import { Channel } from "../../transport/Channel";
import { PeerNetwork } from "../../transport/PeerNetwork";
import { ZoneTraffic } from "../ZoneTraffic";

const load = {
    instanceId: "i-1",
    bornMs: 1_700_000_000_000,
    isDraining: false,
    total: 3,
    yours: 1,
    serviceMs: 12.5,
    routeServiceMs: undefined,
    failureShare: 0,
};

describe("ZoneTraffic", () => {
    const registry = new Registry();
    const traffic = new ZoneTraffic(registry);
    let send: Parameters<PeerNetwork["observeSent"]>[0] = () => undefined;
    traffic.observe({ observeSent: (next: typeof send) => (send = next) } as unknown as PeerNetwork, "a");
    const lines = async (): Promise<readonly string[]> =>
        (await registry.metrics()).split("\n").filter((line) => line.startsWith("filbertdeal_sent_bytes_total"));

    test("counts by kind and by the zone of the receiver's host, which is unknown before gossip names it", async () => {
        send({ channel: Channel.Configuration, host: "10.0.0.2", body: { kind: "subscribe" }, bytes: 20 });
        const member = (peerAddress: string, zone: string) => ({ peerAddress, zone }) as MemberRecord;
        traffic.updateMembers([member("10.0.0.1:7", "a"), member("10.0.0.2:7", "b")]);
        send({ channel: Channel.Configuration, host: "10.0.0.2", body: { kind: "evidence" }, bytes: 30 });
        send({ channel: Channel.Calls, host: "10.0.0.1", body: { kind: "order" }, bytes: 400 });
        send({ channel: Channel.Calls, host: "10.0.0.2", body: { kind: "order" }, bytes: 500 });
        send({ channel: Channel.Calls, host: "10.0.0.2", body: { kind: "ping" }, bytes: 9 });
        send({ channel: Channel.Membership, host: "10.0.0.2", body: { kind: "heartbeat" }, bytes: 40 });
        expect(await lines()).toEqual([
            "filbertdeal_sent_bytes_total{kind=\"configurations\",zone=\"unknown\"} 20",
            "filbertdeal_sent_bytes_total{kind=\"statistics\",zone=\"other\"} 30",
            "filbertdeal_sent_bytes_total{kind=\"requests\",zone=\"own\"} 400",
            "filbertdeal_sent_bytes_total{kind=\"requests\",zone=\"other\"} 500",
            "filbertdeal_sent_bytes_total{kind=\"other\",zone=\"other\"} 9",
            "filbertdeal_sent_bytes_total{kind=\"gossip\",zone=\"other\"} 40",
        ]);
    });

    test("counts the load report in a result apart from the response", async () => {
        send({ channel: Channel.Calls, host: "10.0.0.2", body: { kind: "result", load }, bytes: 1_000 });
        const texts = await lines();
        const valueOf = (kind: string): number =>
            Number(texts.find((line) => line.includes(`"${kind}",zone="other"`))?.split(" ")[1]);
        expect(valueOf("load-reports")).toBeGreaterThan(20);
        expect(valueOf("load-reports")).toBeLessThan(80);
        expect(valueOf("responses") + valueOf("load-reports")).toBe(1_000);
    });

    test("logs the bytes by kind and destination when the process stops", async () => {
        const lines: string[] = [];
        const output = { write: (line: string) => lines.push(line) };
        const log = new EventLog("node-1", new HybridClock(new SystemClock()), output);
        const resources = new DisposableStore();
        traffic.logPeriodically(log, resources);
        await resources.dispose();
        expect(lines).toEqual([expect.stringMatching(/event=bytes-sent .*requestsOwn=400 requestsOther=500 /)]);
    });
});
