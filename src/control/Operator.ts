/** An operator, its token and the owner and class of the entries that it may change. "*" matches all. */
export type Operator = {
    readonly name: string;
    readonly token: string;
    readonly owner: string;
    readonly class: string;
};
