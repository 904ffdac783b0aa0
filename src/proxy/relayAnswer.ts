import { ServerResponse } from "node:http";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { forwardHeaders } from "./forwardHeaders";

/** The head of an answer and its body. */
type Answer = {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Readable;
};

/**
 * Streams an answer to the caller with back pressure. If the body breaks off, the caller's connection is destroyed,
 * so that a part never passes for the whole.
 * @returns true if the whole answer was written
 */
export const relayAnswer = async (response: ServerResponse, { body, headers, status }: Answer): Promise<boolean> => {
    try {
        response.writeHead(status, forwardHeaders(headers));
        await pipeline(body, response);
        return true;
    }
    catch {
        response.destroy();
        return false;
    }
};
