import { VError } from "verror";
import { ErrorKind } from "./ErrorKind";

/** An error of a known kind. Its message says what happened and how to fix it. */
export class FilbertdealError extends VError {
    public readonly kind: ErrorKind;

    public constructor(kind: ErrorKind, message: string, cause?: Error) {
        super({ name: "FilbertdealError", cause }, "%s", message);
        this.kind = kind;
    }
}
