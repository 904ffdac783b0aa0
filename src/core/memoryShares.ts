/** What the users of large buffers in a process may hold, in bytes. */
type MemoryShares = {
    /** Bodies that callers are sending, or whose requests are in progress. */
    readonly callerBodies: number;
    /** Bodies that other nodes are sending. */
    readonly linkBodies: number;
    /** Unfinished responses of the backend server of this host. */
    readonly responses: number;
    /** Responses that callers have not read yet. */
    readonly unreadResponses: number;
};

/** What a process takes without bodies and responses: the runtime, the programs, and the heap of a busy process. */
const PROCESS_BYTES = 80_000_000;

/** Buffers that nobody uses any more, up to which V8 puts off collecting them. */
const UNCOLLECTED_BYTES = 64_000_000;

/** Unfinished frames of the links, see `frameMemory`. */
const FRAME_BYTES = 33_554_432;

/** A process that gets less memory than it needs by itself still serves small bodies. */
const MINIMUM_BYTES = 16_000_000;

const CALLER_BODY_SHARE = 0.415;
const LINK_BODY_SHARE = 0.391;
const RESPONSE_SHARE = 0.097;
const UNREAD_RESPONSE_SHARE = 0.097;

/** Divides the memory of a machine, so that a process stays within it with all shares full at once. */
export const memoryShares = (machineBytes: number): MemoryShares => {
    const bytes = Math.max(MINIMUM_BYTES, machineBytes - PROCESS_BYTES - UNCOLLECTED_BYTES - FRAME_BYTES);
    return {
        callerBodies: Math.floor(bytes * CALLER_BODY_SHARE),
        linkBodies: Math.floor(bytes * LINK_BODY_SHARE),
        responses: Math.floor(bytes * RESPONSE_SHARE),
        unreadResponses: Math.floor(bytes * UNREAD_RESPONSE_SHARE),
    };
};
