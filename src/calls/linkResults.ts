import { CallResult } from "./CallResult";

const down: CallResult = { kind: "not-run", reason: "link-down", retryAfterMs: 0 };
const silent: CallResult = { kind: "unknown", reason: "silent" };
const broken: CallResult = { kind: "unknown", reason: "link-broken" };

/** The results of requests whose link can't be used, does not respond, or closed. */
export const linkResults = { down, silent, broken } as const;
