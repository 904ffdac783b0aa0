import { Route } from "../catalogue/Route";
import { ServiceClass } from "../catalogue/ServiceClass";
import { RequestBody } from "./RequestBody";

/** The properties of one caller's request that are the same for all of its attempts. */
export type CallContext = {
    readonly requestId: string;
    readonly service: string;
    readonly class: ServiceClass;
    readonly caller: string;
    /** The chosen configuration version of the service. */
    readonly version: number;
    readonly route: Route;
    /** The backend version of the pool that the route refers to. */
    readonly backendVersion: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: RequestBody;
    /** See `requestFingerprint`. Undefined if the body is streamed: the request can't be recognized before it is sent. */
    readonly fingerprint: string | undefined;
    /** The request arrived as a retry or hedge of an earlier hop, so this node must not retry or hedge it. */
    readonly alreadyRetried: boolean;
    /** On the monotonic clock, in milliseconds. */
    readonly deadlineMs: number;
    /** Aborts when the caller disconnects or the deadline passes. */
    readonly signal: AbortSignal;
};
