import { IncomingMessage } from "node:http";
import { Clock } from "../core/Clock";
import { GrowingBuffer } from "../core/GrowingBuffer";
import { bodyAdmission } from "./bodyAdmission";

/** Dependencies and settings of the bodies. */
type CallerBodiesOptions = {
    readonly clock: Clock;
    /** Limit of all bodies together. */
    readonly limitBytes: number;
};

/** How the reading of a body ended. */
type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    /** Not all of it could be held. */
    | { readonly kind: "no-room"; }
    /** Nothing of it arrived for long, or its request could not be answered in time any more. */
    | { readonly kind: "stalled"; }
    | { readonly kind: "closed"; };

/** The outcomes after which the rest of the body is not read. */
type Refused = "too-large" | "no-room" | "stalled";

type ReceivedBody = {
    readonly startedMs: number;
    readonly announcedBytes: number | undefined;
    receivedBytes: number;
    pieces: number;
    lastReceivedMs: number;
    heldBytes: number;
    isComplete: boolean;
    /** Undefined once its bytes count no more. */
    content: GrowingBuffer | undefined;
    readonly refuse: (kind: Refused) => void;
};

/** A body of which nothing arrives for this long is not waited for. */
const STALL_TIMEOUT_MS = 10_000;

/** A body of unknown length asks for room in steps of this size. */
const RESERVED_STEP_BYTES = 65_536;

/**
 * A body in chunks may have so many pieces, and one more for each of these bytes: reading a piece costs far more time
 * than its bytes, and nothing else is read in the meantime.
 */
const FREE_PIECES = 4_096;
const MINIMUM_PIECE_BYTES = 64;

/** What a request with a body takes beside its bytes. */
const OVERHEAD_BYTES = 8_192;

const noBody = Buffer.alloc(0);

const hasTinyPieces = ({ announcedBytes, pieces, receivedBytes }: ReceivedBody): boolean =>
    announcedBytes === undefined && pieces > FREE_PIECES + receivedBytes / MINIMUM_PIECE_BYTES;

/** The announced length, 0 without a body, undefined for chunks. */
const lengthOf = ({ headers }: IncomingMessage): number | undefined =>
    headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;

/**
 * Reads the bodies of callers' requests into memory. All of them together hold no more than the limit: one for which there
 * is no room is refused before it is read, if its length is announced.
 */
export class CallerBodies {
    private readonly bodies = new Set<ReceivedBody>();
    private total = 0;

    public constructor(private readonly options: CallerBodiesOptions) {}

    /** Bytes that all bodies hold, or will hold as announced. */
    public get heldBytes(): number {
        return this.total;
    }

    /**
     * Reads a body. It is held until the returned function is called.
     * @param maximumBytes limit of the body
     * @param timeLeftMs until its request can't be answered in time any more
     */
    public read(request: IncomingMessage, maximumBytes: number, timeLeftMs: number) {
        const announcedBytes = lengthOf(request);
        if (announcedBytes === 0) {
            // Fast path: most requests have no body to wait for.
            request.resume();
            return { result: { kind: "complete", body: noBody } as BodyResult, release: () => undefined } as const;
        }
        const limitBytes = Math.min(maximumBytes, bodyAdmission.largestBytes(this.options.limitBytes) - OVERHEAD_BYTES);
        if (announcedBytes !== undefined && announcedBytes > limitBytes) {
            return { result: { kind: "too-large" } as BodyResult, release: () => undefined } as const;
        }
        let settle: (result: BodyResult) => void = () => undefined;
        const result = new Promise<BodyResult>((resolve) => (settle = resolve));
        const startedMs = this.options.clock.monotonicMs();
        const body: ReceivedBody = {
            startedMs,
            lastReceivedMs: startedMs,
            announcedBytes,
            receivedBytes: 0,
            pieces: 0,
            heldBytes: 0,
            isComplete: false,
            content: undefined,
            refuse: (kind) => {
                this.release(body);
                settle({ kind });
            },
        };
        this.bodies.add(body);
        if (this.reserve(body, (announcedBytes ?? RESERVED_STEP_BYTES) + OVERHEAD_BYTES)) {
            this.receive(request, body, limitBytes, timeLeftMs, settle);
        }
        else {
            body.refuse("no-room");
        }
        return { result, release: () => this.release(body) } as const;
    }

    private receive(
        request: IncomingMessage,
        body: ReceivedBody,
        limitBytes: number,
        timeLeftMs: number,
        settle: (result: BodyResult) => void,
    ): void {
        body.content = new GrowingBuffer(limitBytes, body.announcedBytes);
        const endTimer = setTimeout(() => body.refuse("stalled"), timeLeftMs);
        const stallTimer = setTimeout(() => body.refuse("stalled"), STALL_TIMEOUT_MS);
        const onData = (piece: Buffer): void => {
            const { content } = body;
            if (!content) {
                stop();
                return;
            }
            const receivedBytes = body.receivedBytes + piece.length;
            body.pieces += 1;
            if (receivedBytes > limitBytes) {
                body.refuse("too-large");
            }
            else if (hasTinyPieces(body)) {
                request.destroy();
            }
            else if (!this.reserve(body, receivedBytes + OVERHEAD_BYTES)) {
                body.refuse("no-room");
            }
            else {
                content.append(piece);
                body.receivedBytes = receivedBytes;
                body.lastReceivedMs = this.options.clock.monotonicMs();
                stallTimer.refresh();
            }
        };
        const stop = (): void => {
            clearTimeout(endTimer);
            clearTimeout(stallTimer);
            request.off("data", onData).off("end", onEnd).off("close", onClose);
        };
        const onEnd = (): void => {
            stop();
            body.isComplete = true;
            settle({ kind: "complete", body: body.content?.view() ?? noBody });
        };
        const onClose = (): void => {
            stop();
            this.release(body);
            settle({ kind: "closed" });
        };
        request.on("data", onData).on("end", onEnd).on("close", onClose);
    }

    /** Makes a body hold at least so many bytes, if need be in place of slow ones. Returns false if there is no room. */
    private reserve(body: ReceivedBody, neededBytes: number): boolean {
        while (neededBytes > body.heldBytes) {
            const steps = Math.ceil((neededBytes - body.heldBytes) / RESERVED_STEP_BYTES);
            const additionalBytes = body.announcedBytes === undefined
                ? steps * RESERVED_STEP_BYTES
                : neededBytes - body.heldBytes;
            const decision = bodyAdmission.decide(
                this.bodies,
                { heldBytes: this.total, limitBytes: this.options.limitBytes },
                { body, neededBytes, additionalBytes },
                this.options.clock.monotonicMs(),
            );
            if (decision.kind === "refused") {
                return false;
            }
            if (decision.kind === "evict") {
                decision.body.refuse("no-room");
            }
            else {
                body.heldBytes += additionalBytes;
                this.total += additionalBytes;
            }
        }
        return true;
    }

    private release(body: ReceivedBody): void {
        body.content = undefined;
        if (this.bodies.delete(body)) {
            this.total -= body.heldBytes;
        }
    }
}
