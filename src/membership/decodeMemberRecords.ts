import * as z from "zod";
import { parseAddress } from "../transport/parseAddress";
import { EndpointState } from "./EndpointState";
import { MemberRecord } from "./MemberRecord";
import { MemberStatus } from "./MemberStatus";

/** Clocks may be wrong, but not by this much. */
const MAXIMUM_LEAD_MS = 86_400_000;

const MAXIMUM_ENDPOINTS = 64;

const nameSchema = z.string().min(1).max(200);

const addressSchema = z.string().max(100).refine((text) => parseAddress(text) !== undefined);

const countSchema = z.number().int().nonnegative();

/** Fields that this release doesn't know are kept, since records are passed on. */
const endpointSchema = z.looseObject({
    service: nameSchema,
    backendVersion: nameSchema,
    slots: countSchema.min(1).max(10_000),
    state: z.enum(EndpointState),
    instanceId: nameSchema.optional(),
    bornMs: countSchema.optional(),
    coldRemainingMs: z.number().nonnegative().optional(),
});

const recordSchema = z.looseObject({
    id: nameSchema,
    zone: nameSchema,
    incarnation: countSchema,
    sequence: countSchema,
    status: z.enum(MemberStatus),
    peerAddress: addressSchema,
    inboundAddress: z.union([z.literal(""), addressSchema]),
    isControl: z.boolean().optional(),
    endpoints: z.array(endpointSchema).max(MAXIMUM_ENDPOINTS),
});

type DecodedRecords = {
    readonly records: readonly MemberRecord[];
    /** How many can't be used: they are neither stored nor passed on. */
    readonly refused: number;
};

/**
 * Decodes the member records in a message of a neighbour.
 * @param nowMs Unix time in ms
 */
export const decodeMemberRecords = (raw: unknown, nowMs: number): DecodedRecords => {
    const values: readonly unknown[] = Array.isArray(raw) ? raw : [raw];
    const records = values.flatMap((value) => {
        const { data } = recordSchema.safeParse(value);
        return data && data.incarnation <= nowMs + MAXIMUM_LEAD_MS ? [data] : [];
    });
    return { records, refused: values.length - records.length };
};
