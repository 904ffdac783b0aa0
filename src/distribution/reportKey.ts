import { ServiceReport } from "./ServiceReport";

/** Identifies what a report is about. */
export const reportKey = ({ service, zone }: Pick<ServiceReport, "service" | "zone">): string => `${zone}/${service}`;
