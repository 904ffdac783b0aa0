import { MeshRoute } from "../configuration/MeshRoute";

type Timeouts = Pick<MeshRoute, "timeoutMs">;

/** Time for which the caller waits, counted from when it sent the request: the route's, unless it states its own. */
const waitMs = (stated: string | undefined, { timeoutMs }: Timeouts): number => {
    const statedMs = Number(stated);
    return statedMs > 0 ? statedMs : timeoutMs;
};

/** When a request that arrived at this time must be answered. */
const endMs = (arrivedMs: number, stated: string | undefined, route: Timeouts): number =>
    arrivedMs + Math.min(route.timeoutMs, waitMs(stated, route));

/** The deadline of a caller's request, from what its header states and from its route. */
export const callerDeadline = { waitMs, endMs } as const;
