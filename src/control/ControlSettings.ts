import * as z from "zod";
import { controlSettingsSchema } from "./controlSettingsSchema";

/** The checked settings of a control replica. */
export type ControlSettings = Readonly<z.infer<typeof controlSettingsSchema>>;
