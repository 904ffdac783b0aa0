import { Evidence } from "./Evidence";

/** Returns the map key of evidence: its service, version and route. */
export const evidenceKey = ({ route, service, version }: Pick<Evidence, "route" | "service" | "version">): string =>
    `${service}/${version}/${route}`;
