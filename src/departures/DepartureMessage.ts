import { DepartureReport } from "./DepartureReport";
import { OwnDepartures } from "./OwnDepartures";

/** The messages by which neighbours store one another's departures. */
export type DepartureMessage =
    /** Sent by both sides when a link opens. */
    | {
        readonly kind: "remembered";
        /** What the sender stores for the receiver, whose process may have restarted. */
        readonly yours: readonly DepartureReport[];
        /** True if an earlier process of the receiver told the sender all that it knew. */
        readonly isInformed: boolean;
        readonly own: OwnDepartures;
    }
    /** Requests the receiver to store departures. */
    | { readonly kind: "store"; readonly number: number; readonly own: OwnDepartures; }
    /** The answer to `store` of that number. */
    | { readonly kind: "stored"; readonly number: number; };
