import * as z from "zod";
import { EndpointState } from "../membership/EndpointState";
import { addressSchema } from "../transport/addressSchema";

/** The announcement that a backend server sends to the node of its host at least once a second. */
export const announcementSchema = z.strictObject({
    service: z.string().min(1).max(63),
    backendVersion: z.string().min(1).max(100),
    address: addressSchema,
    slots: z.number().int().min(1).max(10_000),
    state: z.enum(EndpointState).default(EndpointState.Ready),
});
