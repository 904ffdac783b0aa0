import { digestOf } from "../core/digestOf";
import { AcceptedOrder } from "./AcceptedOrder";

/** What an order asks for. */
type OrderWords =
    | {
        readonly kind: "start-move";
        readonly service: string;
        readonly targetVersion: string;
        readonly durationMs: number;
    }
    | { readonly kind: "start-evacuation" | "stop-evacuation"; readonly zone: string; };

/** Far more than operators send in the time in which an order may arrive again. The oldest ones are dropped first. */
const MAXIMUM_ORDERS = 512;

/**
 * Returns what orders have in common that may be the same one: their words, and the operator's key if there is one. With
 * keys, orders with the same words are never taken for one another.
 */
const identityOf = (words: OrderWords, key: string | undefined): string => {
    const texts = words.kind === "start-move"
        ? [words.service, words.targetVersion, String(words.durationMs)]
        : [words.zone];
    return digestOf([words.kind, ...texts, ...(key === undefined ? [] : [key])]);
};

/** The number of the last accepted order with this identity; 0 if there is none. */
const lastNumber = (orders: readonly AcceptedOrder[], identity: string): number =>
    orders.findLast((order) => order.identity === identity)?.number ?? 0;

const add = (orders: readonly AcceptedOrder[], identity: string, acceptedAtMs: number): readonly AcceptedOrder[] => {
    const number = (orders.at(-1)?.number ?? 0) + 1;
    return [...orders.slice(1 - MAXIMUM_ORDERS), { number, identity, acceptedAtMs }];
};

/** The accepted orders of operators, oldest first. */
export const acceptedOrders = { identityOf, lastNumber, add } as const;
