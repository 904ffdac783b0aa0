import { HybridTimestamp } from "./HybridTimestamp";

const COUNTER_DIGITS = 5;

/** Writes a reading so that readings sort as text: ISO time, a dash, the counter. */
export const formatTimestamp = (timestamp: HybridTimestamp): string =>
    `${new Date(timestamp.wallMs).toISOString()}-${String(timestamp.counter).padStart(COUNTER_DIGITS, "0")}`;
