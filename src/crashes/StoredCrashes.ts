import { CrashReport } from "./CrashReport";

/** A `CrashReport` in the replicated log: with Unix times in ms instead of ages. */
export type StoredCrashes = Omit<CrashReport, "crashes" | "clearedAgeMs"> & {
    readonly crashes: readonly StoredCrash[];
};

type StoredCrash = Omit<CrashReport["crashes"][number], "ageMs"> & { readonly atMs: number; };
