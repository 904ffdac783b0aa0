import { createHash } from "node:crypto";
import { fileCodec } from "../transport/fileCodec";
import { StoreRecord } from "./StoreRecord";

/**
 * Layout of a record: length of the body (4 bytes, big-endian), complement of the length (4), checksum of the body (8),
 * body.
 */
const LENGTH_OFFSET = 0;
const COMPLEMENT_OFFSET = 4;
const CHECKSUM_OFFSET = 8;
const HEADER_BYTES = 16;
const MAXIMUM_BODY_BYTES = 0xffffffff;

/** The outcome of reading one record. "torn" is an incomplete last write; "corrupt" is damage before the file's end. */
type ReadOutcome =
    | { readonly kind: "record"; readonly record: StoreRecord; readonly nextOffset: number; }
    | { readonly kind: "end" | "torn" | "corrupt"; };

const checksum = (body: Buffer): Buffer =>
    createHash("sha256").update(body).digest().subarray(0, HEADER_BYTES - CHECKSUM_OFFSET);

const encode = (record: StoreRecord): Buffer => {
    const body = fileCodec.encode(record);
    const bytes = Buffer.alloc(HEADER_BYTES + body.length);
    bytes.writeUInt32BE(body.length, LENGTH_OFFSET);
    bytes.writeUInt32BE(MAXIMUM_BODY_BYTES - body.length, COMPLEMENT_OFFSET);
    checksum(body).copy(bytes, CHECKSUM_OFFSET);
    body.copy(bytes, HEADER_BYTES);
    return bytes;
};

const isAllZero = (bytes: Buffer): boolean => bytes.every((byte) => byte === 0);

const read = (file: Buffer, offset: number): ReadOutcome => {
    const remaining = file.subarray(offset);
    if (remaining.length === 0) {
        return { kind: "end" };
    }
    if (remaining.length < HEADER_BYTES || isAllZero(remaining)) {
        return { kind: "torn" };
    }
    const length = remaining.readUInt32BE(LENGTH_OFFSET);
    // The complement distinguishes a damaged length from an incomplete write.
    if (remaining.readUInt32BE(COMPLEMENT_OFFSET) !== MAXIMUM_BODY_BYTES - length) {
        return { kind: "corrupt" };
    }
    const end = HEADER_BYTES + length;
    if (remaining.length < end) {
        return { kind: "torn" };
    }
    const body = remaining.subarray(HEADER_BYTES, end);
    if (!checksum(body).equals(remaining.subarray(CHECKSUM_OFFSET, HEADER_BYTES))) {
        return { kind: remaining.length === end ? "torn" : "corrupt" };
    }
    return { kind: "record", record: fileCodec.decode(body) as StoreRecord, nextOffset: offset + end };
};

/** Encodes and decodes the checksummed records of the log and snapshot files. */
export const recordFormat = { encode, read } as const;
