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
        response.once("close", () => this.controller.abort());
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    public dispose(): void {
        clearTimeout(this.timer);
    }
}
