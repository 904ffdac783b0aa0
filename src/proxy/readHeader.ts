import { IncomingHttpHeaders } from "node:http";

/** Reads a header as one text, or undefined if it is absent. */
export const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
};
