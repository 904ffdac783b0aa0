import { Mesh } from "./Mesh";

const ISO_LENGTH = 24;

const wallMs = (event: ReadonlyMap<string, string>): number => Date.parse((event.get("at") ?? "").slice(0, ISO_LENGTH));

/**
 * The time from the acceptance of a revision until the last running node had it in force, in milliseconds, or
 * undefined if a running node never had it.
 */
export const convergenceMs = (mesh: Mesh, service: string, revision: number): number | undefined => {
    const concerns = (event: ReadonlyMap<string, string>): boolean => event.get("service") === service;
    const acceptances = mesh.replicas
        .flatMap(({ history }) => history())
        .filter((event) => concerns(event) && Number(event.get("revision")) === revision)
        .map(wallMs);
    const arrivals = mesh.hosts
        .filter(({ process: managed }) => managed.isRunning)
        .map(({ history }) =>
            history().find((event) =>
                event.get("event") === "configuration-in-force" && concerns(event)
                && Number(event.get("revision")) >= revision
            )
        );
    if (arrivals.some((event) => !event) || acceptances.length === 0) {
        return undefined;
    }
    return Math.max(...arrivals.map((event) => (event ? wallMs(event) : 0))) - Math.min(...acceptances);
};
