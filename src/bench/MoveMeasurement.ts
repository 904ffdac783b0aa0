import { BadKind } from "./BadKind";

/** What the bench measured of one move. */
export type MoveMeasurement = {
    readonly move: number;
    readonly bad: BadKind | undefined;
    readonly result: string;
    readonly reason: string;
    readonly onTime: boolean;
    readonly durationMs: number;
    /** Requests of callers that the version failed, after retries. */
    readonly harmed: number;
    readonly requestsDuring: number;
    /** From the first faulty answer of a backend server to the last request that reached the version. */
    readonly faultToZeroMs: number | undefined;
};
