/** Returns a copy of the headers without those of the given names, which are in lower case. */
export const withoutHeaders = <Value>(
    headers: Readonly<Record<string, Value>>,
    names: readonly string[],
): Record<string, Value> => Object.fromEntries(Object.entries(headers).filter(([name]) => !names.includes(name)));
