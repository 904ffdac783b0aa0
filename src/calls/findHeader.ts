/**
 * Returns the first value of a header, or undefined if it is absent.
 * @param headers alternating names and values
 * @param name in lower case
 */
export const findHeader = (headers: readonly string[], name: string): string | undefined => {
    for (let index = 0; index < headers.length; index += 2) {
        if (headers[index].toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
};
