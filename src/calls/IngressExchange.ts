import { IncomingMessage, ServerResponse } from "node:http";
import { CallerConnection } from "./CallerConnection";
import { RouteLookup } from "./RouteLookup";

/** A request that a caller's connection has allowed to run. */
export type IngressExchange = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly connection: CallerConnection;
    /** Aborts if the connection closes before the response was sent. */
    readonly signal: AbortSignal;
    /** The earliest time at which the request may have arrived; it may have been read later. */
    readonly arrivedMs: number;
    /** When the caller sent it first, as far as this node knows; `arrivedMs` for a first attempt. */
    readonly firstSentMs: number;
    /** Resolves once a close that arrived before the request was read is known; undefined if there is nothing to wait for. */
    readonly settled: Promise<void> | undefined;
    readonly lookup: RouteLookup | undefined;
};
