import { ConsensusMessage } from "./ConsensusMessage";
import { MembershipChange } from "./MembershipChange";

/** An input event of a replica. Timer expiries are events as well, so that the protocol itself reads no clock. */
export type ConsensusInput =
    | { readonly kind: "election-timeout"; }
    | { readonly kind: "heartbeat-timeout"; }
    | { readonly kind: "quorum-check-timeout"; }
    | { readonly kind: "receive"; readonly from: string; readonly message: ConsensusMessage; }
    /** The leader stated another state at the last applied entry than this replica has. */
    | { readonly kind: "state-differs"; }
    | { readonly kind: "propose"; readonly requestId: string; readonly command: unknown; }
    | { readonly kind: "change-membership"; readonly requestId: string; readonly change: MembershipChange; }
    | { readonly kind: "read"; readonly requestId: string; }
    | { readonly kind: "persisted"; readonly index: number; }
    | { readonly kind: "compact"; readonly index: number; };
