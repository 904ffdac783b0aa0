import { FaultPlan } from "../load/FaultPlan";
import { noFault } from "../load/noFault";
import { BadKind } from "./BadKind";
import { Firm } from "./Firm";

const LATER_MS = 3_500;

/** Between what a backend server of a version gets at the first and at the second step. */
const UNDER_LOAD_PER_SECOND = 4;

/** The fault of the backend servers of a bad version. */
export const badFault = (kind: BadKind, { readPath }: Firm): FaultPlan => {
    switch (kind) {
        case BadKind.Fails:
            return { ...noFault, kind: "fail", share: 0.5 };
        case BadKind.FailsLater:
            return { ...noFault, kind: "fail", share: 0.8, afterMs: LATER_MS };
        case BadKind.Slow:
            return { ...noFault, kind: "slow", delayMs: 300 };
        case BadKind.OneRoute:
            return { ...noFault, kind: "fail", pathPrefix: readPath };
        case BadKind.UnderLoad:
            return { ...noFault, kind: "fail", abovePerSecond: UNDER_LOAD_PER_SECOND };
    }
};
