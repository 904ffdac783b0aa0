import * as z from "zod";
import { contentSchema } from "./contentSchema";

type DeepReadonly<Value> = Value extends object ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]>; } : Value;

/** The validated content of an entry, with defaults filled in. */
export type ServiceContent = DeepReadonly<z.infer<typeof contentSchema>>;
