import { ServiceReport } from "./ServiceReport";

/** Returns the map key of a report: its zone and service. */
export const reportKey = ({ service, zone }: Pick<ServiceReport, "service" | "zone">): string => `${zone}/${service}`;
