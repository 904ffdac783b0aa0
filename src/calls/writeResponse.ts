import { ServerResponse } from "node:http";
import { CallResponse } from "./CallResponse";

/** Sends the response of a backend server to a caller. */
export const writeResponse = (
    response: ServerResponse,
    { body, headers, reason, status }: CallResponse,
    isLast: boolean,
): void => {
    const isBodiless = response.req.method === "HEAD" || status === 204 || status === 304;
    const length = isBodiless ? [] : ["Content-Length", String(body.length)];
    const closing = isLast ? ["Connection", "close"] : [];
    response.writeHead(status, reason, [...headers, ...length, ...closing]);
    response.end(isBodiless ? undefined : body);
};
