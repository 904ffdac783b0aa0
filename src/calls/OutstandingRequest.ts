import { BodySender } from "./BodySender";
import { CallResult } from "./CallResult";

/** A request that was sent to another node and waits for its result. */
export type OutstandingRequest = {
    readonly settle: (result: CallResult) => void;
    readonly idempotent: boolean;
    readonly route: string;
    readonly sentAtMs: number;
    /** Tells the other node that this one ends in that time. */
    readonly limitAnswer: (withinMs: number) => void;
    /** Undefined if the body was sent with the request, which was then not offered. */
    readonly bodySender: BodySender | undefined;
};
