/** A body that a caller is sending, or whose request is in progress. */
type HeldBody = {
    readonly startedMs: number;
    readonly receivedBytes: number;
    readonly lastReceivedMs: number;
    /** Undefined if the sender has announced no length. */
    readonly announcedBytes: number | undefined;
    readonly isComplete: boolean;
};

/** A body that needs so many bytes in all, of which it holds some already. */
type Demand<Body extends HeldBody> = {
    readonly body: Body;
    readonly neededBytes: number;
    readonly additionalBytes: number;
};

type Decision<Body extends HeldBody> =
    | { readonly kind: "granted"; }
    /** Room is short, and this body has to go first, since it arrives too slowly. */
    | { readonly kind: "evict"; readonly body: Body; }
    | { readonly kind: "refused"; };

/** Larger bodies leave a part of the limit to small ones. */
const smallBodyBytes = 131_072;
const SMALL_BODY_SHARE = 0.05;

/** While room is short, a body that arrives more slowly than this, or of which nothing arrives, makes way for others. */
const MINIMUM_BYTES_PER_MS = 4;
const PATIENCE_MS = 1_000;

/** A body of which this part has arrived goes on, whatever its pace. */
const NEARLY_COMPLETE_SHARE = 0.875;

const paceOf = ({ receivedBytes, startedMs }: HeldBody, nowMs: number): number =>
    receivedBytes / Math.max(1, nowMs - startedMs);

const mayEvict = (body: HeldBody, nowMs: number): boolean => {
    const { announcedBytes, isComplete, lastReceivedMs, receivedBytes, startedMs } = body;
    const isNearlyComplete = announcedBytes !== undefined && receivedBytes >= announcedBytes * NEARLY_COMPLETE_SHARE;
    const isSlow = nowMs - startedMs >= PATIENCE_MS && paceOf(body, nowMs) < MINIMUM_BYTES_PER_MS;
    return !isComplete && !isNearlyComplete && (isSlow || nowMs - lastReceivedMs >= PATIENCE_MS);
};

/** What a body may hold at most if it is the only one. */
const largestBytes = (limitBytes: number): number => Math.floor(limitBytes * (1 - SMALL_BODY_SHARE));

/** Decides whether a body may hold more, beside `heldBytes` of all bodies. */
const decide = <Body extends HeldBody>(
    bodies: Iterable<Body>,
    { heldBytes, limitBytes }: { readonly heldBytes: number; readonly limitBytes: number; },
    { additionalBytes, body, neededBytes }: Demand<Body>,
    nowMs: number,
): Decision<Body> => {
    const availableBytes = neededBytes > smallBodyBytes ? largestBytes(limitBytes) : limitBytes;
    if (heldBytes + additionalBytes <= availableBytes) {
        return { kind: "granted" };
    }
    const slow = [...bodies].filter((other) => other !== body && mayEvict(other, nowMs));
    if (slow.length === 0) {
        return { kind: "refused" };
    }
    const slowest = slow.reduce((one, other) => (paceOf(other, nowMs) < paceOf(one, nowMs) ? other : one));
    return { kind: "evict", body: slowest };
};

/** Decides which bodies of callers a node holds in memory, and which one gives way when there is no room. */
export const bodyAdmission = { decide, largestBytes, smallBodyBytes } as const;
