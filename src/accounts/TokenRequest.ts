import { TokenRequestEntry } from "./TokenRequestEntry";

/** Node to control: reports the use of tokens and requests more. Only the leader answers. */
export type TokenRequest = {
    readonly kind: "request-tokens";
    /** Increases with each request of a sender. A request voids the answers to all earlier ones. */
    readonly number: number;
    /** Chosen at random by each process of a node, so that a restarted node starts without tokens. */
    readonly sender: string;
    /** The ledger that gave the tokens that the entries report on; empty if there is none. */
    readonly ledger: string;
    readonly accounts: readonly TokenRequestEntry[];
};
