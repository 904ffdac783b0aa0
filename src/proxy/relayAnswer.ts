import { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { forwardHeaders } from "./forwardHeaders";

/** The head of an answer and its body. */
type Answer = {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Readable;
};

/**
 * Streams an answer to the caller with back pressure. If the body breaks off, the caller's connection is destroyed,
 * so that a part never passes for the whole. It does without `pipeline` from node:stream, which builds an abort
 * error for every answer, also a whole one.
 * @returns true if the whole answer was written
 */
export const relayAnswer = (response: ServerResponse, { body, headers, status }: Answer): Promise<boolean> =>
    new Promise((resolve) => {
        response.once("close", () => {
            const whole = response.writableFinished;
            if (!whole) {
                body.destroy();
            }
            resolve(whole);
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
