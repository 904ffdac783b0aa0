import { FaultPlan } from "../load/FaultPlan";
import { noFault } from "../load/noFault";
import { BadVersionKind } from "./BadVersionKind";
import { Firm } from "./Firm";

const LATER_FAILURE_MS = 3_500;

/**
 * Lies between the request rates that a backend server of the version gets at the first and at the second step of the
 * rollout, so that the fault shows only at the second step.
 */
const UNDER_LOAD_PER_SECOND = 4;

/** Returns the fault plan for the backend servers of a bad version. */
export const faultOfBadVersion = (kind: BadVersionKind, { readPath }: Firm): FaultPlan => {
    switch (kind) {
        case BadVersionKind.Fails:
            return { ...noFault, kind: "fail", share: 0.5 };
        case BadVersionKind.FailsLater:
            return { ...noFault, kind: "fail", share: 0.8, afterMs: LATER_FAILURE_MS };
        case BadVersionKind.Slow:
            return { ...noFault, kind: "slow", delayMs: 300 };
        case BadVersionKind.OneRoute:
            return { ...noFault, kind: "fail", pathPrefix: readPath };
        case BadVersionKind.UnderLoad:
            return { ...noFault, kind: "fail", abovePerSecond: UNDER_LOAD_PER_SECOND };
    }
};
