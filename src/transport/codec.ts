import { Encoder } from "cbor-x";

/** The CBOR codec of all frames and files. Records are off: they need state shared between the two ends. */
export const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
