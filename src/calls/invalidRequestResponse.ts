const statusOfError: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** Returns what is sent to a caller whose bytes are no valid request. */
export const invalidRequestResponse = (error: Error): string => {
    const { code = "" } = error as NodeJS.ErrnoException;
    return `HTTP/1.1 ${statusOfError[code] ?? "400 Bad Request"}\r\nConnection: close\r\n\r\n`;
};
