import { CallRequest } from "./CallRequest";

type Known = Pick<CallRequest, "unconfirmedMs">;

/** A request must not reach a backend server if its caller left longer ago than this. */
const boundMs = 500;

/** Part of the bound for what follows the decision to start a request, also in a process that is interrupted there. */
const reserveMs = 100;

/** A request isn't started if its caller may have left longer ago than this. */
const limitMs = boundMs - reserveMs;

/**
 * Returns a request that has waited for something other than its nodes, such as a slot. While it waits its sender
 * reports that the caller has left: only what this node has not read is unknown.
 * @param sincePolledMs see `EventLoopTurns.sincePolledMs`
 */
const afterWait = <Request extends Known>(request: Request, sincePolledMs: number): Request => ({
    ...request,
    unconfirmedMs: (request.unconfirmedMs ?? 0) + Math.ceil(sincePolledMs),
});

/** Returns how much longer a request may be held up before it must not start any more; negative once it must not. */
const startWithinMs = ({ unconfirmedMs = 0 }: Known): number => limitMs - unconfirmedMs;

/** Decides from what the nodes on the way of a request know of its caller whether it may still start. */
export const callerPresence = { boundMs, limitMs, afterWait, startWithinMs } as const;
