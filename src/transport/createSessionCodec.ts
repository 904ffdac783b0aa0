import { Encoder } from "cbor-x";

/**
 * Creates a codec for one direction of one connection. Both ends learn the shapes of messages as they go by, so that
 * field names travel once; frames must therefore arrive whole and in order, as they do over TCP.
 */
export const createSessionCodec = (): Encoder =>
    new Encoder({ sequential: true, useRecords: true, mapsAsObjects: true, tagUint8Array: false });
