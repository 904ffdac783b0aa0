import { IncomingHttpHeaders } from "node:http";

/** Returns the first value of a header, or undefined if it is absent. */
export const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
};
