import { Encoder } from "cbor-x";

/**
 * Creates a CBOR codec for one direction of one connection. It sends the field names of each message shape only once
 * and refers to them afterwards, so frames must be decoded completely and in order, as TCP delivers them.
 */
export const createSessionCodec = (): Encoder =>
    new Encoder({ sequential: true, useRecords: true, mapsAsObjects: true, tagUint8Array: false });
