import { Route } from "../catalogue/Route";
import { ServiceClass } from "../catalogue/ServiceClass";
import { RequestBody } from "./RequestBody";

/** Everything that is fixed about one request of a caller. */
export type CallContext = {
    readonly requestId: string;
    readonly service: string;
    readonly class: ServiceClass;
    readonly caller: string;
    readonly version: number;
    readonly route: Route;
    /** The version label of the route's pool. */
    readonly backendVersion: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: RequestBody;
    readonly alreadyRetried: boolean;
    /** On the monotonic clock, in milliseconds. */
    readonly deadlineMs: number;
    /** Aborts when the caller leaves or the deadline passes. */
    readonly signal: AbortSignal;
};
