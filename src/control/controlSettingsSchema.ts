import * as z from "zod";
import { addressSchema } from "../transport/addressSchema";
import { parseOperators } from "./parseOperators";

const replicas = z.string().refine(
    (text) => text.split(",").every((part) => /^[^=,]+=[^=,]+:\d+$/.test(part)),
    "must be a list of ID=IP:PORT, separated by commas",
);

const operators = z.string().refine(
    (text) => (parseOperators(text)?.length ?? 0) > 0,
    "must be a list of NAME:TOKEN:OWNER:CLASS, separated by commas; * stands for all",
);

/** The settings of a control replica. */
export const controlSettingsSchema = z.object({
    id: z.string().min(1, "must not be empty"),
    peerAddress: addressSchema,
    adminAddress: addressSchema,
    /**
     * The address under which other processes reach this replica, if it differs from the peer address. Validated,
     * but not used so far.
     */
    advertise: addressSchema.optional(),
    dataFolder: z.string().min(1, "must name a folder on a disk"),
    /** The voters of a new group. Not used with `join`. */
    replicas,
    /** True to join a running group: the replica waits until an operator adds it as a learner. */
    join: z.boolean().default(false),
    secret: z.string().min(16, "must have at least 16 characters"),
    operators,
    seed: z.coerce.number().int().default(1),
    /** Log entries between two snapshots. */
    snapshotEvery: z.coerce.number().int().min(1).default(500),
    electionTimeoutMs: z.coerce.number().int().min(100).default(800),
    statsd: addressSchema.optional(),
});
