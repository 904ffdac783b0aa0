import { Mesh } from "./Mesh";

/** A revision that a node put in force. */
type AppliedRevision = {
    readonly node: string;
    readonly service: string;
    readonly revision: number;
};

/** Lists each revision that a node put in force, by node and in the order of its log, including before restarts. */
const appliedRevisions = (mesh: Mesh): readonly AppliedRevision[] =>
    mesh.hosts.flatMap(({ id, history }) =>
        history()
            .filter((event) => event.get("event") === "configuration-in-force")
            .map((event) => ({
                node: id,
                service: event.get("service") ?? "",
                revision: Number(event.get("revision")),
            }))
    );

/** Lists the revisions that a node put in force after a newer revision of the same service. */
const regressions = (mesh: Mesh): readonly AppliedRevision[] => {
    const highest = new Map<string, number>();
    return appliedRevisions(mesh).filter(({ node, revision, service }) => {
        const key = `${node}/${service}`;
        const highestBefore = highest.get(key) ?? 0;
        highest.set(key, Math.max(highestBefore, revision));
        return revision < highestBefore;
    });
};

/** Reads from the nodes' logs which revisions they put in force. */
export const revisionHistory = { appliedRevisions, regressions } as const;
