import { FaultPlan } from "../load/FaultPlan";
import { noFault } from "../load/noFault";
import { BadVersionKind } from "./BadVersionKind";
import { Firm } from "./Firm";

const LATER_FAILURE_MS = 3_500;

/** Between a backend server's request rates at the first and the second step, so the fault shows at the second. */
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
