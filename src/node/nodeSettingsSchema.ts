import * as z from "zod";
import { addressSchema } from "../transport/addressSchema";
import { parseAddress } from "../transport/parseAddress";

const addressList = z.string().refine(
    (text) => text.split(",").filter(Boolean).every((part) => parseAddress(part) !== undefined),
    "must be a list of IP:PORT, separated by commas",
);

/** The settings of a node. */
export const nodeSettingsSchema = z.object({
    id: z.string().min(1, "must not be empty"),
    zone: z.string().min(1, "must name the availability zone"),
    peerAddress: addressSchema,
    callerAddress: addressSchema,
    inboundAddress: addressSchema,
    hostAddress: addressSchema,
    /** The addresses that other processes connect to, where they differ from the listening addresses. */
    advertisePeer: addressSchema.optional(),
    advertiseInbound: addressSchema.optional(),
    controls: addressList,
    seeds: addressList.default(""),
    /** The services that callers of this node use, separated by commas. */
    services: z.string().default(""),
    secret: z.string().min(16, "must have at least 16 characters"),
    seed: z.coerce.number().int().default(1),
    drainTimeoutMs: z.coerce.number().int().min(0).default(30_000),
    statsd: addressSchema.optional(),
});
