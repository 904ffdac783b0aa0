import * as z from "zod";
import { nodeSettingsSchema } from "./nodeSettingsSchema";

/** The validated settings of a node. */
export type NodeSettings = Readonly<z.infer<typeof nodeSettingsSchema>>;
