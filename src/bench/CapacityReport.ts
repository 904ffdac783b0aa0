import { fitLine } from "./fitLine";

/** A quantity measured at several sizes, and the line fitted through the points. Written as JSON. */
export type CapacityReport = {
    readonly name: string;
    /** What `x` counts. */
    readonly sizeName: string;
    /** Unit of `y`. */
    readonly unit: string;
    readonly points: readonly { readonly x: number; readonly y: number; }[];
    readonly line: ReturnType<typeof fitLine>;
};
