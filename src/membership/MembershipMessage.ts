import { MemberRecord } from "./MemberRecord";

/** The messages between members. */
export type MembershipMessage =
    | {
        /** Opens a link, in both directions. */
        readonly kind: "hello";
        readonly record: MemberRecord;
        readonly digest: number;
    }
    | {
        readonly kind: "heartbeat";
        readonly digest: number;
        /** The source revision that the sender's configuration has reached. */
        readonly floor: number;
    }
    | {
        /** Tells a member that came back which source revision it had reached before. */
        readonly kind: "floor";
        readonly floor: number;
    }
    | { readonly kind: "records"; readonly records: readonly MemberRecord[]; }
    | {
        /** Asks for the records that the sender lacks. */
        readonly kind: "versions";
        readonly versions: readonly MemberVersion[];
    };

type MemberVersion = {
    readonly id: string;
    readonly incarnation: number;
    readonly sequence: number;
    readonly status: number;
};
