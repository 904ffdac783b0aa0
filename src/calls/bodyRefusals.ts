import { RequestRefusal } from "./RequestRefusal";

/** Room for a body comes free as requests end and slow bodies make way. */
const NO_ROOM_RETRY_AFTER_MS = 500;

/** What is told a caller whose body was not read completely. The request has not run. */
export const bodyRefusals: Readonly<Record<"closed" | "no-room" | "stalled" | "too-large", RequestRefusal>> = {
    "too-large": { status: 413, reason: "body-too-large" },
    "no-room": { status: 503, reason: "body-no-room", retryAfterMs: NO_ROOM_RETRY_AFTER_MS },
    "stalled": { status: 408, reason: "body-stalled" },
    "closed": { status: 0, reason: "body-cut" },
};
