import * as z from "zod";
import { controlSettingsSchema } from "./controlSettingsSchema";

/** The validated settings of a control replica. */
export type ControlSettings = Readonly<z.infer<typeof controlSettingsSchema>>;
