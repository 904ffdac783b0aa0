import { ServerResponse } from "node:http";
import { Disposable } from "../core/Disposable";

/** Aborts a call at its deadline or when its caller leaves. */
export class CallDeadline implements Disposable {
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;

    public constructor(timeoutMs: number, response: ServerResponse) {
        this.timer = setTimeout(() => {
            this.controller.abort(new DOMException("the deadline has passed", "TimeoutError"));
        }, timeoutMs);
        response.once("close", () => this.onClose(response));
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    public dispose(): void {
        clearTimeout(this.timer);
    }

    /** An answered call is not aborted: building the abort's error would cost more than the rest of the call. */
    private onClose(response: ServerResponse): void {
        if (!response.writableFinished) {
            this.controller.abort();
        }
    }
}
