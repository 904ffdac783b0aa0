/** Remembers the result for the last argument. Meant for costly functions of read-only states. */
export const onceForEach = <Argument, Result>(
    compute: (argument: Argument) => Result,
): (argument: Argument) => Result => {
    let last: { readonly argument: Argument; readonly result: Result; } | undefined;
    return (argument) => {
        if (!last || last.argument !== argument) {
            last = { argument, result: compute(argument) };
        }
        return last.result;
    };
};
