import { FaultPlan } from "./FaultPlan";

/** A backend server that works. */
export const noFault: FaultPlan = {
    kind: "none",
    share: 1,
    pathPrefix: "/",
    afterMs: 0,
    abovePerSecond: 0,
    delayMs: 500,
};
