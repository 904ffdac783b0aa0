import { fitLine } from "./fitLine";

/** One quantity measured at several sizes, and the line through it. */
export type CapacityReport = {
    readonly name: string;
    readonly sizeName: string;
    readonly unit: string;
    readonly points: readonly { readonly x: number; readonly y: number; }[];
    readonly line: ReturnType<typeof fitLine>;
};
