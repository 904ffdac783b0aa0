import { createHash } from "node:crypto";
import { ModelState } from "./ModelState";

/**
 * Returns a hash that is equal for equal states, whatever the order of the messages in flight. `lost` is left out, as
 * exploration loses no disks.
 */
export const hashModel = ({ budget, committed, leaders, network, replicas }: ModelState): string => {
    const states = [...replicas].map(([id, { durable, state }]) => [id, durable, state, [...state.peers]]);
    const messages = network.map((message) => JSON.stringify(message)).sort();
    const text = JSON.stringify([states, messages, budget, [...leaders].sort(), [...committed].sort()]);
    return createHash("md5").update(text).digest("base64");
};
