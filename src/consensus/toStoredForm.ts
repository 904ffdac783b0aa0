import { fileCodec } from "../transport/fileCodec";

/**
 * Returns a command as replicas read it from their logs. The leader appends and applies this form too, so that a value
 * that the codec does not keep has the same effect on all replicas.
 */
export const toStoredForm = (command: unknown): unknown => fileCodec.decode(fileCodec.encode(command));
