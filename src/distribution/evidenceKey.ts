import { Evidence } from "./Evidence";

/** Identifies what an evidence is about. */
export const evidenceKey = ({ route, service, version }: Pick<Evidence, "route" | "service" | "version">): string =>
    `${service}/${version}/${route}`;
