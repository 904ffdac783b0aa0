import { MemberRecord } from "./MemberRecord";

/** Messages between members. */
export type MembershipMessage =
    | {
        /** First message on a link, sent by both sides. `digest` is the digest of all records of the sender. */
        readonly kind: "hello";
        readonly record: MemberRecord;
        readonly digest: number;
    }
    | {
        /** Sent at a fixed interval and whenever the sender's configuration reaches a new revision. */
        readonly kind: "heartbeat";
        /** Digest of all records of the sender. If it keeps differing from the receiver's, they compare versions. */
        readonly digest: number;
        /** The source revision that the sender's configuration has reached; 0 for none. */
        readonly floor: number;
    }
    | {
        /** Tells a member that has just connected which source revision it had reached before. */
        readonly kind: "floor";
        /** The highest source revision that the receiver reported earlier; 0 for none. */
        readonly floor: number;
    }
    | {
        /** Records that are new or have changed. */
        readonly kind: "records";
        readonly records: readonly MemberRecord[];
    }
    | {
        /**
         * The versions of all records that the sender holds. The receiver answers with the records that the sender
         * lacks or holds in an older version.
         */
        readonly kind: "versions";
        readonly versions: readonly MemberVersion[];
    }
    | {
        /** A change of the gossiped state, or all of it when a link opens. See `GossipedState`. */
        readonly kind: "gossip";
        readonly body: unknown;
    }
    | {
        /** What two neighbours tell each other. See `NeighbourExchange`. */
        readonly kind: "exchange";
        readonly body: unknown;
    };

type MemberVersion = {
    readonly id: string;
    readonly incarnation: number;
    readonly sequence: number;
    readonly status: number;
};
