import { BackendLoad } from "../calls/BackendLoad";
import { Channel } from "../transport/Channel";
import { TrafficKind } from "./TrafficKind";

/** The fields of messages that decide their kind. */
type SentBody = {
    readonly kind?: string;
    readonly load?: BackendLoad;
};

type KindBytes = { readonly kind: TrafficKind; readonly bytes: number; };

const kindsByMessage: Readonly<Partial<Record<Channel, Readonly<Record<string, TrafficKind>>>>> = {
    [Channel.Calls]: {
        order: "requests",
        body: "requests",
        cancel: "requests",
        credit: "requests",
        result: "responses",
    },
    [Channel.Configuration]: {
        subscribe: "configurations",
        state: "configurations",
        leading: "configurations",
        fetch: "configurations",
        delta: "configurations",
        "packed-delta": "configurations",
        evidence: "statistics",
        "renew-lease": "accounts",
        lease: "accounts",
        "request-tokens": "accounts",
        tokens: "accounts",
    },
};

/** Sizes in CBOR: a reference to the field names that the connection already knows, and a number that is not an integer. */
const RECORD_REFERENCE_BYTES = 3;
const FLOAT_BYTES = 9;

/** CBOR stores an integer below 24 in the first byte, and others in as many more bytes as they need. */
const numberBytes = (value: number): number => {
    if (!Number.isInteger(value) || value < 0 || value > 0xffff_ffff) {
        return FLOAT_BYTES;
    }
    return value < 24 ? 1 : value <= 0xff ? 2 : value <= 0xffff ? 3 : 5;
};

const valueBytes = (value: unknown): number => {
    if (typeof value === "number") {
        return numberBytes(value);
    }
    return typeof value === "string" ? numberBytes(value.length) + value.length : 1;
};

/** Size of a load report within a result, computed from its values, since it is not a frame of its own. */
const loadBytes = (load: BackendLoad): number =>
    Object.values(load).reduce<number>((sum, value) => sum + valueBytes(value), RECORD_REFERENCE_BYTES);

/** Returns the kinds that the bytes of a message belong to. */
const split = (channel: Channel, body: unknown, bytes: number): readonly KindBytes[] => {
    if (channel === Channel.Membership) {
        return [{ kind: "gossip", bytes }];
    }
    const { kind = "", load } = body as SentBody;
    const messageKind = kindsByMessage[channel]?.[kind] ?? "other";
    if (messageKind !== "responses" || !load) {
        return [{ kind: messageKind, bytes }];
    }
    const reportBytes = Math.min(bytes, loadBytes(load));
    return [{ kind: "responses", bytes: bytes - reportBytes }, { kind: "load-reports", bytes: reportBytes }];
};

/** Divides the bytes of messages between processes by what they are for. */
export const trafficKinds = { split } as const;
