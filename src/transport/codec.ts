import { Encoder } from "cbor-x";

/** The CBOR codec of files. Every record of a file can be read by itself. */
export const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
