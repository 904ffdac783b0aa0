const valuesOf = (headers: readonly string[], name: string): readonly string[] =>
    headers.filter((_value, index) => index % 2 === 1 && headers[index - 1].toLowerCase() === name);

/**
 * True if the end of a response can be told from its headers without doubt. A response with an unclear length could be
 * taken as complete too early.
 * @param headers alternating names and values
 */
export const hasValidFraming = (headers: readonly string[]): boolean => {
    const codings = valuesOf(headers, "transfer-encoding");
    const lengths = valuesOf(headers, "content-length");
    const isChunked = codings.length === 1 && codings[0].toLowerCase() === "chunked";
    const areLengthsValid = lengths.every((length) => /^\d{1,15}$/.test(length) && length === lengths[0]);
    return (codings.length === 0 || isChunked) && areLengthsValid && (codings.length === 0 || lengths.length === 0);
};
