import { hashNumber } from "../core/hashNumber";

/** Creates a seed that differs between processes and between restarts of the same process. */
export const uniqueSeed = (id: string): number => hashNumber(`${id}/${process.hrtime.bigint()}`);
