/** Who may change which entries. "*" stands for all. */
export type Operator = {
    readonly name: string;
    readonly token: string;
    readonly owner: string;
    readonly class: string;
};
