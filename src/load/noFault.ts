import { FaultPlan } from "./FaultPlan";

/** A plan without a fault. Plans with a fault override some of its fields. */
export const noFault: FaultPlan = {
    kind: "none",
    share: 1,
    pathPrefix: "/",
    afterMs: 0,
    abovePerSecond: 0,
    delayMs: 500,
};
