/** A controller that aborts with its parent and can be aborted alone. Call `unlink` once it is no longer needed. */
type LinkedAbort = {
    readonly signal: AbortSignal;
    readonly abort: () => void;
    readonly unlink: () => void;
};

/** Creates a controller that follows a parent signal. */
export const linkAbort = (parent: AbortSignal): LinkedAbort => {
    const controller = new AbortController();
    const follow = (): void => controller.abort(parent.reason);
    parent.addEventListener("abort", follow, { once: true });
    if (parent.aborted) {
        follow();
    }
    return {
        signal: controller.signal,
        abort: () => controller.abort(),
        unlink: () => parent.removeEventListener("abort", follow),
    };
};
