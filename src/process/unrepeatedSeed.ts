import { hashNumber } from "../core/hashNumber";

/** A seed that differs between processes and between starts of one. */
export const unrepeatedSeed = (id: string): number => hashNumber(`${id}/${process.hrtime.bigint()}`);
