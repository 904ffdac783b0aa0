import { HybridTimestamp } from "./HybridTimestamp";

const COUNTER_DIGITS = 5;

/** Formats a timestamp so that timestamps sort as text: ISO time, a dash, the zero-padded counter. */
export const formatTimestamp = (timestamp: HybridTimestamp): string =>
    `${new Date(timestamp.wallMs).toISOString()}-${String(timestamp.counter).padStart(COUNTER_DIGITS, "0")}`;
