import { createHash } from "node:crypto";
import { codec } from "../transport/codec";
import { StoreRecord } from "./StoreRecord";

/** Layout of a record: body length (4 bytes), its complement (4), checksum of the body (8), body. */
const LENGTH_OFFSET = 0;
const COMPLEMENT_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
const HEADER_BYTES = 16;
const MAXIMUM_LENGTH = 0xffffffff;

/** The outcome of reading one record. "torn" is an unfinished last write; "corrupt" is damage before the end. */
type ReadOutcome =
    | { readonly kind: "record"; readonly record: StoreRecord; readonly nextOffset: number; }
    | { readonly kind: "end" | "torn" | "corrupt"; };

const checksum = (body: Buffer): Buffer =>
    createHash("sha256").update(body).digest().subarray(0, HEADER_BYTES - CHECKSUM_OFFSET);

const encode = (record: StoreRecord): Buffer => {
    const body = codec.encode(record);
    const bytes = Buffer.alloc(HEADER_BYTES + body.length);
    bytes.writeUInt32BE(body.length, LENGTH_OFFSET);
    bytes.writeUInt32BE(MAXIMUM_LENGTH - body.length, COMPLEMENT_OFFSET);
    checksum(body).copy(bytes, CHECKSUM_OFFSET);
    body.copy(bytes, HEADER_BYTES);
    return bytes;
};

const isAllZero = (bytes: Buffer): boolean => bytes.every((byte) => byte === 0);

const read = (file: Buffer, offset: number): ReadOutcome => {
    const rest = file.subarray(offset);
    if (rest.length === 0) {
        return { kind: "end" };
    }
    if (rest.length < HEADER_BYTES || isAllZero(rest)) {
        return { kind: "torn" };
    }
    const length = rest.readUInt32BE(LENGTH_OFFSET);
    // A damaged length must not pass for a write that stopped half way.
    if (rest.readUInt32BE(COMPLEMENT_OFFSET) !== MAXIMUM_LENGTH - length) {
        return { kind: "corrupt" };
    }
    const end = HEADER_BYTES + length;
    if (rest.length < end) {
        return { kind: "torn" };
    }
    const body = rest.subarray(HEADER_BYTES, end);
    if (!checksum(body).equals(rest.subarray(CHECKSUM_OFFSET, HEADER_BYTES))) {
        return { kind: rest.length === end ? "torn" : "corrupt" };
    }
    return { kind: "record", record: codec.decode(body) as StoreRecord, nextOffset: offset + end };
};

/** Writes and reads the checksummed records of the log file. */
export const recordFormat = { encode, read } as const;
