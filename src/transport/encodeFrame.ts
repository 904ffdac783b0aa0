import { Encoder } from "cbor-x";

const LENGTH_BYTES = 4;

/** Encodes a message as one frame: 4-byte big-endian length, then CBOR. */
export const encodeFrame = (encoder: Encoder, message: unknown): Buffer => {
    const body = encoder.encode(message);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, LENGTH_BYTES);
    return frame;
};
