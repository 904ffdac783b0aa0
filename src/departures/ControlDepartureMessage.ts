import { DepartureReport } from "./DepartureReport";

/** The messages by which control stores the departures from the hosts of nodes. The sender's identity names the host. */
export type ControlDepartureMessage =
    /** Node to control: requests that the departure is stored. Only the leader answers, once it is committed. */
    | { readonly kind: "record-departure"; readonly number: number; readonly departure: DepartureReport; }
    /** Control to node: the answer to the request of that number. */
    | { readonly kind: "departure-recorded"; readonly number: number; }
    /** Node to control: requests the departures from its host. */
    | { readonly kind: "recall-departures"; }
    | {
        /** Control to node: the answer. The leader answers again, once a quorum confirmed that it is complete. */
        readonly kind: "departures";
        readonly departures: readonly DepartureReport[];
        readonly isComplete: boolean;
    };
