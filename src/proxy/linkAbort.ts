/** A signal that aborts with its parent or by `abort`. Call `unlink` to remove the listener from the parent. */
type LinkedAbort = {
    readonly signal: AbortSignal;
    readonly abort: () => void;
    readonly unlink: () => void;
};

/** Derives an abortable signal from a parent signal. */
export const linkAbort = (parent: AbortSignal): LinkedAbort => {
    const controller = new AbortController();
    const onParentAbort = (): void => controller.abort(parent.reason);
    parent.addEventListener("abort", onParentAbort, { once: true });
    if (parent.aborted) {
        onParentAbort();
    }
    return {
        signal: controller.signal,
        abort: () => controller.abort(),
        unlink: () => parent.removeEventListener("abort", onParentAbort),
    };
};
