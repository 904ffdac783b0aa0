/** Declares the part of cbor-x that this project uses, for CommonJS. */
export class Encoder {
    public constructor(options: Readonly<Record<string, boolean>>);
    public encode(value: unknown): Buffer;
    public decode(bytes: Buffer): unknown;
}
