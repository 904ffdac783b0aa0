/** Blocks the event loop of this process, as if it got no processor time. */
export const blockEventLoop = (forMs: number): void => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, forMs);
};
