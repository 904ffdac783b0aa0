import { Mesh } from "./Mesh";

/** Length of the ISO 8601 part at the start of a log line's timestamp. */
const ISO_TIMESTAMP_LENGTH = 24;

const loggedAtMs = (event: ReadonlyMap<string, string>): number =>
    Date.parse((event.get("at") ?? "").slice(0, ISO_TIMESTAMP_LENGTH));

/**
 * Returns the time in ms from the acceptance of a revision until the last running node had it or a later one in force,
 * or undefined if the logs lack the acceptance or a running node never got there.
 */
export const convergenceMs = (mesh: Mesh, service: string, revision: number): number | undefined => {
    const isOfService = (event: ReadonlyMap<string, string>): boolean => event.get("service") === service;
    const acceptedAtMs = mesh.replicas
        .flatMap(({ history }) => history())
        .filter((event) => isOfService(event) && Number(event.get("revision")) === revision)
        .map(loggedAtMs);
    const inForceEvents = mesh.hosts
        .filter(({ process: managed }) => managed.isRunning)
        .map(({ history }) =>
            history().find((event) =>
                event.get("event") === "configuration-in-force" && isOfService(event)
                && Number(event.get("revision")) >= revision
            )
        );
    if (inForceEvents.some((event) => !event) || acceptedAtMs.length === 0) {
        return undefined;
    }
    return Math.max(...inForceEvents.map((event) => (event ? loggedAtMs(event) : 0))) - Math.min(...acceptedAtMs);
};
