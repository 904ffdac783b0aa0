import { Encoder } from "cbor-x";

/** The CBOR codec of files. Unlike the session codec it is stateless, so that each record can be decoded on its own. */
export const fileCodec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
