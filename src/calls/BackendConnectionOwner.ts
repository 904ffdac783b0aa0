import { MemoryBudget } from "../core/MemoryBudget";
import { ReadTurns } from "../core/ReadTurns";

/** Why a connection was destroyed although the backend server did not end it. The values are labels of a metric. */
type InvalidReason =
    /** Bytes that are no HTTP response, or that have no end. */
    | "malformed"
    | "too-large"
    /** The connections together held too much; this one held most. */
    | "memory"
    /** A response that can't be matched to a request. */
    | "unmatched"
    /** Bytes that arrived while no request was in progress. */
    | "unsolicited";

/** What a connection needs from its owner. */
export type BackendConnectionOwner = {
    /** Lower-case name of the response header that repeats the request id. */
    readonly requestIdHeader: string;
    /** Limits the unfinished responses of all connections. */
    readonly memory: MemoryBudget;
    readonly readTurns: ReadTurns;
    /** Called once, when the connection can't be used any more. */
    readonly onClosed: () => void;
    /** Called if what the backend server sent is the reason for that. */
    readonly onInvalid: (reason: InvalidReason) => void;
};
