/** One figure and the target that stands in the brief, the letter or the issue. */
export type Measure = {
    readonly name: string;
    readonly value: number | undefined;
    readonly unit: string;
    readonly target: string;
    /** Undefined where there is no figure or no target to hold it against. */
    readonly met: boolean | undefined;
};
