import { sampleConfiguration } from "../../configuration/__tests__/sampleConfiguration";
import { configurationDeltas } from "../../configuration/configurationDeltas";
import { MeshConfiguration } from "../../configuration/MeshConfiguration";
import { EventLog } from "../../core/EventLog";
import { PeerNetwork } from "../../transport/PeerNetwork";
import { ConfigurationMessage } from "../ConfigurationMessage";
import { ConfigurationPublisher } from "../ConfigurationPublisher";
import { ConfigurationSubscriber } from "../ConfigurationSubscriber";
import { emptyDeployment } from "../emptyDeployment";
import { LeaseGrantor } from "../LeaseGrantor";

const addresses = ["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"] as const;
const [own, second, third, fourth] = addresses;

/** Bound for a configuration to be in force everywhere. */
const APPLY_MS = 2_000;

type Handler = Parameters<PeerNetwork["open"]>[2];
type Sent = { readonly address: string; readonly message: ConfigurationMessage; };

const versionOf = (version: number): MeshConfiguration => sampleConfiguration(version);

const create = (zoneAddresses: readonly string[]) => {
    const handlers = new Map<string, Handler>();
    const sent: Sent[] = [];
    const inForce: number[] = [];
    const network = {
        open: (_channel: string, { host, port }: { host: string; port: number; }, handler: Handler) => {
            const address = `${host}:${port}`;
            handlers.set(address, handler);
            return {
                isOpen: () => true,
                send: (message: ConfigurationMessage) => sent.push({ address, message }),
                dispose: () => undefined,
            };
        },
    } as unknown as PeerNetwork;
    const subscriber = new ConfigurationSubscriber({
        network,
        log: { info: () => undefined, warn: () => undefined } as unknown as EventLog,
        onConfiguration: ({ version }) => inForce.push(version),
        onRollouts: () => undefined,
        onEvacuations: () => undefined,
        onLease: () => undefined,
        onTokens: () => undefined,
    });
    subscriber.setControlAddresses(new Set(addresses), new Set(zoneAddresses));
    const receive = (address: string, message: ConfigurationMessage): void =>
        void handlers.get(address)?.onMessage(message);
    const announce = (address: string, configurationVersion: number): void =>
        receive(address, {
            kind: "state",
            revision: configurationVersion,
            configurationVersion,
            moves: [],
            evacuatedZones: [],
        });
    const answer = (address: string, version: number): void =>
        receive(address, { kind: "delta", delta: configurationDeltas.between(undefined, versionOf(version)) });
    const fetches = (): readonly string[] =>
        sent.filter(({ message }) => message.kind === "fetch").map(({ address }) => address);
    return { subscriber, receive, announce, answer, fetches, inForce, sent, handlers };
};

beforeEach(() => {
    jest.useFakeTimers();
});
afterEach(() => {
    jest.useRealTimers();
});

describe("ConfigurationSubscriber", () => {
    test("fetches from the replica of its own zone although others announce the version first", () => {
        const { announce, fetches } = create([own]);
        [second, third, fourth].forEach((address) => announce(address, 5));
        jest.advanceTimersByTime(100);
        expect(fetches()).toEqual([]);
        announce(own, 5);
        expect(fetches()).toEqual([own]);
    });

    test("fetches from the first replica that announces a version if none of its zone is known", () => {
        const { announce, fetches } = create([]);
        announce(third, 5);
        expect(fetches()).toEqual([third]);
    });

    test("has a version well within its bound if the replica of its zone does not announce it, and does not wait again", () => {
        const { announce, answer, fetches, inForce } = create([own]);
        [second, third].forEach((address) => announce(address, 5));
        jest.advanceTimersByTime(200);
        expect(fetches()).toEqual([second]);
        answer(second, 5);
        announce(third, 6);
        expect(fetches()).toEqual([second, third]);
        answer(third, 6);
        expect(inForce).toEqual([5, 6]);
    });

    // Guards against review/6: nodes that rejected a configuration fetched it again without a pause.
    test("fetches a configuration that does not match its digest again, but not without a pause", () => {
        const { announce, answer, fetches, inForce, receive } = create([]);
        announce(second, 5);
        const delta = { ...configurationDeltas.between(undefined, versionOf(5)), digest: "0" };
        for (let elapsedMs = 0, answered = 0; elapsedMs < APPLY_MS; elapsedMs += 10) {
            if (fetches().length > answered) {
                answered = fetches().length;
                receive(second, { kind: "delta", delta });
            }
            jest.advanceTimersByTime(10);
        }
        expect(fetches().length).toBeGreaterThan(3);
        expect(fetches().length).toBeLessThan(10);
        answer(second, 5);
        expect(inForce).toEqual([5]);
    });

    test("has a version within its bound if the replica of its zone and another one don't answer", () => {
        const { announce, answer, fetches, inForce } = create([own]);
        addresses.forEach((address) => announce(address, 5));
        for (let elapsedMs = 0; elapsedMs < APPLY_MS - 500; elapsedMs += 50) {
            jest.advanceTimersByTime(50);
        }
        expect(new Set(fetches().slice(0, 3)).size).toBe(3);
        answer(third, 5);
        expect(inForce).toEqual([5]);
    });

    test("fetches elsewhere at once if the link to the replica of its zone closes", () => {
        const { announce, fetches, handlers } = create([own]);
        [own, second].forEach((address) => announce(address, 5));
        handlers.get(own)?.onClose?.();
        expect(fetches()).toEqual([own, second]);
    });

    test("never applies an older version that arrives late", () => {
        const { announce, answer, inForce } = create([own]);
        announce(own, 6);
        answer(own, 6);
        announce(second, 5);
        answer(second, 5);
        jest.advanceTimersByTime(APPLY_MS);
        expect(inForce).toEqual([6]);
    });

    test("fetches the whole configuration elsewhere after a damaged delta", () => {
        const { announce, fetches, receive } = create([own]);
        [own, second].forEach((address) => announce(address, 5));
        receive(own, { kind: "packed-delta", packed: Uint8Array.of(1, 2, 3) });
        expect(fetches()).toEqual([own, second]);
    });

    test("sends statistics to the newest leader alone, and to all replicas while none is known", () => {
        const { handlers, receive, sent, subscriber } = create([own]);
        const receivers = (): readonly string[] => {
            sent.length = 0;
            subscriber.sendStatistics([]);
            return sent.map(({ address }) => address);
        };
        expect(receivers()).toEqual(addresses);
        receive(second, { kind: "leading", term: 3 });
        expect(receivers()).toEqual([second]);
        receive(third, { kind: "leading", term: 4 });
        expect(receivers()).toEqual([third]);
        receive(second, { kind: "leading", term: 3 });
        expect(receivers()).toEqual([third]);
        handlers.get(third)?.onClose?.();
        handlers.get(second)?.onClose?.();
        expect(receivers()).toEqual(addresses);
    });
});

describe("ConfigurationPublisher", () => {
    const createPublisher = () => {
        let handler: Parameters<PeerNetwork["handle"]>[1] | undefined;
        const network = { handle: (_channel: string, next: typeof handler) => (handler = next) };
        const publisher = new ConfigurationPublisher(
            network as unknown as PeerNetwork,
            () => undefined,
            {} as LeaseGrantor,
            () => undefined,
            () => Promise.resolve(),
        );
        const received: ConfigurationMessage[] = [];
        const remote = {
            identity: "node-1",
            send: (message: unknown) => received.push(message as ConfigurationMessage),
            close: () => undefined,
        };
        return { publisher, received, send: (message: ConfigurationMessage) => handler?.onMessage(remote, message) };
    };

    test("sends no state that says nothing new", () => {
        const { publisher, received, send } = createPublisher();
        send({ kind: "subscribe" });
        publisher.publish({ ...emptyDeployment, revision: 2 });
        publisher.publish({ ...emptyDeployment, revision: 2 });
        expect(received.map(({ kind }) => kind)).toEqual(["state", "state"]);
    });

    test("tells subscribers, also later ones, that its replica leads", () => {
        const { publisher, received, send } = createPublisher();
        send({ kind: "subscribe" });
        publisher.setLeaderTerm(4);
        send({ kind: "subscribe" });
        publisher.setLeaderTerm(undefined);
        send({ kind: "subscribe" });
        expect(received.map(({ kind }) => kind)).toEqual(["state", "leading", "state", "leading", "state"]);
    });

    test("compresses a large configuration to less than a third, only for nodes that accept it", () => {
        const { publisher, received, send } = createPublisher();
        const [route] = sampleConfiguration(5).routes;
        const routes = Array.from({ length: 800 }, (_, index) => ({
            ...route,
            name: `route-${index}`,
            pathPrefix: `/${(index * 7_919).toString(36)}/`,
        }));
        const configuration = { ...versionOf(5), routes };
        publisher.publish({ ...emptyDeployment, configuration, revision: 1 });
        send({ kind: "fetch", heldVersion: 0 });
        send({ kind: "fetch", heldVersion: 0, acceptsPacked: true });
        const [plain, packed] = received;
        const inForce = create([own]);
        inForce.announce(own, 5);
        inForce.receive(own, packed);
        expect(plain.kind).toBe("delta");
        expect(inForce.subscriber.current?.routes).toHaveLength(800);
        expect(packed.kind === "packed-delta" ? packed.packed.length * 3 : Infinity)
            .toBeLessThan(JSON.stringify(plain).length);
    });
});
