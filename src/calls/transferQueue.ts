/** A body that another node is sending, or is going to send, to this one. */
type Transfer = {
    readonly key: number;
    /** Bytes that its sender has not yet been allowed to send. */
    readonly remainingBytes: number;
    /** Bytes that its sender may send and that have not arrived. */
    readonly inFlightBytes: number;
    /** Times of the node's monotonic clock: responses after the first are late, after the second useless. */
    readonly targetAtMs: number;
    readonly deadlineMs: number;
};

/** The bodies that share the link of this host. */
type TransferQueueState = {
    readonly linkBytesPerMs: number;
    /** In the order in which they arrived. */
    readonly transfers: readonly Transfer[];
};

/** Allows the sender of a body to send so many more bytes. */
type Credit = {
    readonly key: number;
    readonly bytes: number;
};

type Progress = {
    readonly state: TransferQueueState;
    readonly credits: readonly Credit[];
};

type Admission =
    | { readonly kind: "accept"; readonly state: TransferQueueState; }
    | { readonly kind: "refuse"; readonly retryAfterMs: number; };

/** Bytes in flight are limited to what the link carries in this time, so that small messages wait no longer behind them. */
const WINDOW_MS = 50;

/** Limits of the window: two chunks, so that the link never idles between a chunk and the next credit, and 4 MiB. */
const CHUNK_BYTES = 16_384;
const MINIMUM_WINDOW_BYTES = 2 * CHUNK_BYTES;
const MAXIMUM_WINDOW_BYTES = 4_194_304;

/** Share of the link that bodies are expected to get; the rest is for small messages. */
const BODY_SHARE = 0.85;

/** Least retry-after time: one round trip between hosts and some work. */
const MINIMUM_RETRY_AFTER_MS = 20;

const sumOf = (transfers: readonly Transfer[], bytesOf: (transfer: Transfer) => number): number =>
    transfers.reduce((sum, transfer) => sum + bytesOf(transfer), 0);

const windowBytesOf = ({ linkBytesPerMs }: TransferQueueState): number =>
    Math.min(MAXIMUM_WINDOW_BYTES, Math.max(MINIMUM_WINDOW_BYTES, linkBytesPerMs * WINDOW_MS));

/** @param linkBytesPerMs bandwidth of the link of this host */
const create = (linkBytesPerMs: number): TransferQueueState => ({ linkBytesPerMs, transfers: [] });

/** Expected time until a body of the given size has arrived, after all that are accepted. */
const expectedMs = ({ linkBytesPerMs, transfers }: TransferQueueState, bytes: number): number => {
    const aheadBytes = sumOf(transfers, ({ inFlightBytes, remainingBytes }) => inFlightBytes + remainingBytes);
    return (aheadBytes + bytes) / (linkBytesPerMs * BODY_SHARE);
};

/**
 * Accepts a body, or refuses it at once if the link can't carry it in time. Behind other bodies, it has to be on time:
 * a backlog of late bodies would make all others late too.
 * @param runMs how long the request runs once its body has arrived
 */
const offer = (state: TransferQueueState, transfer: Transfer, runMs: number, nowMs: number): Admission => {
    const waitMs = expectedMs(state, transfer.remainingBytes);
    const limitMs = state.transfers.length > 0
        ? Math.min(transfer.targetAtMs, transfer.deadlineMs)
        : transfer.deadlineMs;
    return nowMs + waitMs + runMs > limitMs
        ? { kind: "refuse", retryAfterMs: Math.max(MINIMUM_RETRY_AFTER_MS, expectedMs(state, 0)) }
        : { kind: "accept", state: { ...state, transfers: [...state.transfers, transfer] } };
};

/** Gives the free part of the window to the first bodies that still need it: one after the other, each is done sooner. */
const advance = (state: TransferQueueState): Progress => {
    let freeBytes = windowBytesOf(state) - sumOf(state.transfers, ({ inFlightBytes }) => inFlightBytes);
    const credits: Credit[] = [];
    const transfers = state.transfers.map((transfer) => {
        const bytes = Math.min(transfer.remainingBytes, freeBytes);
        if (bytes <= 0) {
            return transfer;
        }
        freeBytes -= bytes;
        credits.push({ key: transfer.key, bytes });
        return {
            ...transfer,
            remainingBytes: transfer.remainingBytes - bytes,
            inFlightBytes: transfer.inFlightBytes + bytes,
        };
    });
    return { state: { ...state, transfers }, credits };
};

/** Records bytes that have arrived. */
const receive = (state: TransferQueueState, key: number, bytes: number): TransferQueueState => ({
    ...state,
    transfers: state.transfers.map((transfer) =>
        transfer.key === key
            ? { ...transfer, inFlightBytes: Math.max(0, transfer.inFlightBytes - bytes) }
            : transfer
    ),
});

/** Removes a body that is complete or given up. */
const remove = (state: TransferQueueState, key: number): TransferQueueState => ({
    ...state,
    transfers: state.transfers.filter((transfer) => transfer.key !== key),
});

/**
 * Shares the link of a host among large bodies that other nodes send to it. Answers the load of uploads that together
 * exceed the link: without it they fill the queue of the link, and every small request waits behind them.
 */
export const transferQueue = { chunkBytes: CHUNK_BYTES, create, expectedMs, offer, advance, receive, remove } as const;
