/** A measured value and its target. */
export type Measure = {
    readonly name: string;
    readonly value: number | undefined;
    readonly unit: string;
    /** The bound as text, or "reported" if there is no target. */
    readonly target: string;
    /** Whether the value meets the target. Undefined without a value or a target. */
    readonly met: boolean | undefined;
};
