import { hashFraction } from "../core/hashFraction";

/** Longer than the requests that make nested calls run, so that most of them make all of their calls within one turn. */
const TURN_MS = 1_000;

/** Returns the turn of a host at this time, a number in [0, 1) that changes for each host at intervals. */
export const callerTurn = (host: string, nowMs: number): number =>
    hashFraction(`${host}/${Math.floor(nowMs / TURN_MS)}`);
