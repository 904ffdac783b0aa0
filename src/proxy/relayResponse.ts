import { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { forwardHeaders } from "./forwardHeaders";

type UpstreamResponse = {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Readable;
};

/**
 * Streams a response to the caller with backpressure. If the body ends early, the caller's connection is destroyed, so
 * that the caller does not take a partial response for a complete one. `pipeline` of node:stream is not used because it
 * creates an abort error for every response, even a complete one.
 * @returns true if the complete response was written
 */
export const relayResponse = (
    response: ServerResponse,
    { body, headers, status }: UpstreamResponse,
): Promise<boolean> =>
    new Promise((resolve) => {
        response.once("close", () => {
            const complete = response.writableFinished;
            if (!complete) {
                body.destroy();
            }
            resolve(complete);
        });
        body.on("error", () => response.destroy());
        if (response.destroyed) {
            body.destroy();
            resolve(false);
            return;
        }
        response.writeHead(status, forwardHeaders(headers));
        body.pipe(response);
    });
