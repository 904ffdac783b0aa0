/** Memoizes the result for the latest argument, compared by identity. For costly functions of immutable states. */
export const memoizeLatest = <Argument, Result>(
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
