import { CallRequest } from "./CallRequest";

type Known = Pick<CallRequest, "unconfirmedMs">;

/**
 * Returns a request that has waited for something other than its nodes, such as a slot. While it waits its sender
 * reports that the caller has left: only what this node has not read is unknown.
 * @param sincePolledMs see `EventLoopTurns.sincePolledMs`
 */
const afterWait = <Request extends Known>(request: Request, sincePolledMs: number): Request => ({
    ...request,
    unconfirmedMs: (request.unconfirmedMs ?? 0) + Math.ceil(sincePolledMs),
});

/** Tells for how long a caller may have left without the nodes on the way of its request knowing. */
export const callerPresence = { afterWait } as const;
