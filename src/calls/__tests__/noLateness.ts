import { EventLoopTurns } from "../../core/EventLoopTurns";

/** The turns of an event loop that keeps up. */
export const noLateness: Pick<EventLoopTurns, "settle" | "sincePolledMs" | "unreadMs"> = {
    settle: () => undefined,
    sincePolledMs: 0,
    unreadMs: 0,
};
