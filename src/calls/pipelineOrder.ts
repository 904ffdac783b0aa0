/** A request of a caller's connection that is not yet answered. */
type PipelinedRequest = {
    readonly key: number;
    /** True if it may run beside other requests of its connection: it is idempotent and its body is small. */
    readonly mayRunBeside: boolean;
    readonly hasStarted: boolean;
    /** Bytes of its response while that waits for the responses before it. */
    readonly heldBytes: number;
};

/** The requests of one connection, in the order in which they were read. */
type PipelineState = readonly PipelinedRequest[];

/** Requests of one connection that run, or whose responses wait, at a time. */
const MAXIMUM_CONCURRENT = 8;

/** While more bytes of responses than this wait behind the first request, no further request is started. */
const MAXIMUM_HELD_BYTES = 262_144;

/** Reading stops while this many requests have not been started. Those in the last piece that was read are added. */
const MAXIMUM_WAITING = 32;

const empty: PipelineState = [];

const add = (state: PipelineState, key: number, mayRunBeside: boolean): PipelineState => [
    ...state,
    { key, mayRunBeside, hasStarted: false, heldBytes: 0 },
];

const change = (state: PipelineState, key: number, changed: Partial<PipelinedRequest>): PipelineState =>
    state.map((request) => (request.key === key ? { ...request, ...changed } : request));

/** Records that the response of a request is complete and waits for its turn. */
const hold = (state: PipelineState, key: number, bytes: number): PipelineState =>
    change(state, key, { heldBytes: bytes });

/** Removes a request that was answered. */
const remove = (state: PipelineState, key: number): PipelineState => state.filter((request) => request.key !== key);

/**
 * Returns the requests that may start now. One that is not idempotent runs alone: after all earlier ones were answered,
 * and before any later one starts.
 */
const startable = (state: PipelineState): readonly number[] => {
    const candidates = state.slice(0, MAXIMUM_CONCURRENT);
    const heldBytes = candidates.slice(1).reduce((sum, request) => sum + request.heldBytes, 0);
    const firstAlone = candidates.findIndex(({ mayRunBeside }) => !mayRunBeside);
    const together = firstAlone < 0 ? candidates : candidates.slice(0, Math.max(1, firstAlone));
    return together
        .filter(({ hasStarted }, index) => !hasStarted && (index === 0 || heldBytes <= MAXIMUM_HELD_BYTES))
        .map(({ key }) => key);
};

const start = (state: PipelineState, key: number): PipelineState => change(state, key, { hasStarted: true });

/** True if so many requests wait that no more should be read. */
const isFull = (state: PipelineState): boolean =>
    state.length > MAXIMUM_WAITING && state.filter(({ hasStarted }) => !hasStarted).length >= MAXIMUM_WAITING;

/** Decides which requests of a caller's connection run, if the caller sends some before earlier ones are answered. */
export const pipelineOrder = { empty, add, hold, remove, startable, start, isFull } as const;
