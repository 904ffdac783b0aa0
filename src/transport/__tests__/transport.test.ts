import * as fc from "fast-check";
import { Socket } from "node:net";
import { HybridClock } from "../../core/HybridClock";
import { RandomSource } from "../../core/RandomSource";
import { SystemClock } from "../../core/SystemClock";
import { Channel } from "../Channel";
import { clampHeartbeatInterval } from "../clampHeartbeatInterval";
import { createSessionCodec } from "../createSessionCodec";
import { encodeFrame } from "../encodeFrame";
import { FrameDecoder } from "../FrameDecoder";
import { parseAddress } from "../parseAddress";
import { PeerNetwork } from "../PeerNetwork";
import { TransportLimits } from "../TransportLimits";

const MAXIMUM_BYTES = 1_000_000;

type NetworkOptions = ConstructorParameters<typeof PeerNetwork>[0];

const createNetwork = (
    identity: string,
    secret: string,
    onUnhandled?: NetworkOptions["onUnhandled"],
): PeerNetwork =>
    new PeerNetwork({
        onUnhandled,
        identity,
        secret,
        localHost: "127.0.0.1",
        hybridClock: new HybridClock(new SystemClock()),
        random: new RandomSource(1),
    });

describe("FrameDecoder", () => {
    test("decodes every message, no matter how the bytes are split into chunks", () => {
        const message = fc.record({
            kind: fc.string(),
            list: fc.array(fc.record({ id: fc.string(), count: fc.integer() })),
            named: fc.dictionary(fc.stringMatching(/^[a-z]{1,6}$/), fc.double({ noNaN: true })),
        });
        fc.assert(
            fc.property(fc.array(message, { maxLength: 20 }), fc.integer({ min: 1, max: 50 }), (messages, cut) => {
                const encoder = createSessionCodec();
                const bytes = Buffer.concat(messages.map((item) => encodeFrame(encoder, item)));
                const decoder = new FrameDecoder(MAXIMUM_BYTES);
                const received: unknown[] = [];
                for (let offset = 0; offset < bytes.length; offset += cut) {
                    received.push(...decoder.push(bytes.subarray(offset, offset + cut)));
                }
                expect(JSON.stringify(received)).toEqual(JSON.stringify(messages));
            }),
            { seed: 41, numRuns: 300 },
        );
    });

    // Guards against a message nested so deeply that reading it exhausts the stack.
    test("rejects a deeply nested message with an error that closes the connection", () => {
        const body = Buffer.alloc(MAXIMUM_BYTES, 0x81);
        const length = Buffer.alloc(4);
        length.writeUInt32BE(body.length);
        expect(() => new FrameDecoder(MAXIMUM_BYTES).push(Buffer.concat([length, body]))).toThrow();
    });

    test("rejects a frame that exceeds the limit as soon as its length is read", () => {
        const decoder = new FrameDecoder(10);
        expect(() => decoder.push(Buffer.from([0, 0, 0, 11]))).toThrow(/exceeds the limit/);
    });
});

describe("PeerNetwork", () => {
    test("carries messages in both directions after both peers have proved that they know the secret", async () => {
        const server = createNetwork("server", "the-right-secret-1");
        const client = createNetwork("client", "the-right-secret-1");
        server.handle(Channel.Membership, {
            onMessage: (remote, body) => void remote.send({ from: remote.identity, body }),
            onClose: () => undefined,
        });
        const address = await server.listen({ host: "127.0.0.1", port: 0 });
        const answer = await new Promise((resolve) => {
            const link = client.open(Channel.Membership, address, {
                onOpen: () => void link.send("hello"),
                onMessage: resolve,
            });
        });
        expect(answer).toEqual({ from: "client", body: "hello" });
        await client.dispose();
        await server.dispose();
    });

    test("rejects a peer with another secret and delivers none of its messages", async () => {
        const server = createNetwork("server", "the-right-secret-1");
        const intruder = createNetwork("intruder", "another-secret-123");
        let delivered = 0;
        server.handle(Channel.Membership, { onMessage: () => (delivered += 1), onClose: () => undefined });
        const address = await server.listen({ host: "127.0.0.1", port: 0 });
        let opened = false;
        await new Promise<void>((resolve) => {
            const link = intruder.open(Channel.Membership, address, {
                onOpen: () => {
                    opened = true;
                    resolve();
                },
                onMessage: () => undefined,
                onFailure: resolve,
            });
            link.send("hello");
        });
        expect({ delivered, opened }).toEqual({ delivered: 0, opened: false });
        await intruder.dispose();
        await server.dispose();
    });

    // Guards against a message that ends the process, also if it fails later.
    test.each([
        ["at once", () => {
            throw new Error("odd");
        }],
        ["later", () => Promise.reject(new Error("odd"))],
    ])("closes the connection of a message whose handler fails %s, and accepts others", async (_when, handle) => {
        const failures: string[] = [];
        const server = createNetwork("server", "the-right-secret-1", (peer, channel, error) => {
            failures.push(`${peer} ${channel} ${error.message}`);
        });
        const client = createNetwork("client", "the-right-secret-1");
        const isOdd = (body: unknown): boolean => body === "odd";
        server.handle(Channel.Membership, {
            onMessage: (remote, body) => (isOdd(body) ? handle() : remote.send(body)),
            onClose: () => undefined,
        });
        const address = await server.listen({ host: "127.0.0.1", port: 0 });
        let isClosed = false;
        const answer = await new Promise((resolve) => {
            const link = client.open(Channel.Membership, address, {
                onOpen: () => void link.send(isClosed ? "sound" : "odd"),
                onMessage: resolve,
                onClose: () => (isClosed = true),
            });
        });
        expect(answer).toBe("sound");
        expect(failures).toEqual(["client membership odd"]);
        await client.dispose();
        await server.dispose();
    });

    test("limits the heartbeat interval that the opener requests", () => {
        expect(clampHeartbeatInterval(20_000)).toBe(20_000);
        expect(clampHeartbeatInterval(3_600_000)).toBe(TransportLimits.MaximumHeartbeatIntervalMs);
        for (const requestedMs of [0, 999, Number.NaN, undefined as unknown as number]) {
            expect(clampHeartbeatInterval(requestedMs)).toBe(TransportLimits.HeartbeatIntervalMs);
        }
    });

    test("closes a connection that sends invalid bytes instead of a handshake, and keeps running", async () => {
        const server = createNetwork("server", "the-right-secret-1");
        const { host, port } = await server.listen({ host: "127.0.0.1", port: 0 });
        const socket = new Socket();
        const closed = new Promise((resolve) => socket.once("close", resolve));
        socket.on("error", () => undefined);
        socket.resume();
        socket.connect(port, host, () => void socket.write(Buffer.alloc(100, 0xff)));
        await closed;
        await server.dispose();
    });
});

describe("an address", () => {
    test.each([
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:",
        "127.0.0.1:1e3",
        "127.0.0.1:0x50",
        "127.0.0.1: 80",
        "x:80",
    ])(
        "is not read from %j",
        (text) => {
            expect(parseAddress(text)).toBeUndefined();
        },
    );

    test("ends at port 65535", () => {
        expect(parseAddress("127.0.0.1:65535")).toEqual({ host: "127.0.0.1", port: 65_535 });
    });
});

describe("the clock of a process", () => {
    test("is not set by a timestamp that is too far ahead, and is by a later one within reason", () => {
        const clock = new SystemClock();
        const hybridClock = new HybridClock(clock);
        hybridClock.observe({ wallMs: 8_640_000_000_000_001, counter: 0 });
        expect(hybridClock.tick().wallMs).toBeLessThan(clock.wallMs() + 1_000);
        const ahead = { wallMs: Math.round(clock.wallMs()) + 5_000, counter: 3 };
        hybridClock.observe(ahead);
        expect(hybridClock.tick()).toEqual({ ...ahead, counter: 4 });
    });
});
