import { IncomingMessage } from "node:http";
import { isIdempotent } from "./isIdempotent";
import { RouteLookup } from "./RouteLookup";

/** Requests with larger bodies don't run beside earlier ones of their connection, so that it holds little memory. */
const MAXIMUM_PIPELINED_BODY_BYTES = 16_384;

/** True if a request may run beside others of its connection. One that no route serves does not run at all. */
export const mayRunBeside = ({ headers }: IncomingMessage, lookup: RouteLookup | undefined): boolean =>
    (!lookup?.route || isIdempotent(lookup.route)) && headers["transfer-encoding"] === undefined
    && Number(headers["content-length"] ?? 0) <= MAXIMUM_PIPELINED_BODY_BYTES;
