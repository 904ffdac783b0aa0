/** Why a request was sent to a zone. */
export type ZoneReason =
    /** It stayed in its own zone. */
    | "own-zone"
    /** It would likely be late or refused there. */
    | "late"
    /** It was refused or failed there. */
    | "refused"
    /** The backend servers of its zone could not be reached recently. */
    | "unreachable"
    /** Its zone has no backend server of the service. */
    | "no-backend";
