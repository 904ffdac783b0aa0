import * as z from "zod";
import { parseAddress } from "./parseAddress";

/** Validates that a text is an address of the form IP:PORT. */
export const addressSchema = z.string().refine(
    (text) => parseAddress(text) !== undefined,
    "must be an IP number and a port, such as 127.0.0.1:7001",
);
