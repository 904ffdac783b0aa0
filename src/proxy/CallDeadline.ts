import { ServerResponse } from "node:http";
import { Disposable } from "../core/Disposable";

/** Aborts a call at its deadline, with a `TimeoutError`, or when its caller disconnects. */
export class CallDeadline implements Disposable {
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;

    public constructor(timeoutMs: number, response: ServerResponse) {
        this.timer = setTimeout(() => {
            this.controller.abort(new DOMException("the deadline of the call has passed", "TimeoutError"));
        }, timeoutMs);
        response.once("close", () => this.onClose(response));
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    public dispose(): void {
        clearTimeout(this.timer);
    }

    /** A completed call is not aborted: creating the abort error would cost more than the rest of the call. */
    private onClose(response: ServerResponse): void {
        if (!response.writableFinished) {
            this.controller.abort();
        }
    }
}
