import { Mesh } from "./Mesh";

/** A revision that a node put in force, in the order of its log. */
type ForcedRevision = {
    readonly node: string;
    readonly service: string;
    readonly revision: number;
};

/** Every revision that every node put in force, over restarts of the node, in order. */
const collect = (mesh: Mesh): readonly ForcedRevision[] =>
    mesh.hosts.flatMap(({ id, history }) =>
        history()
            .filter((event) => event.get("event") === "configuration-in-force")
            .map((event) => ({
                node: id,
                service: event.get("service") ?? "",
                revision: Number(event.get("revision")),
            }))
    );

/** The places where a node went back to an older revision than one it already had. */
const goingBack = (mesh: Mesh): readonly ForcedRevision[] => {
    const highest = new Map<string, number>();
    return collect(mesh).filter(({ node, revision, service }) => {
        const key = `${node}/${service}`;
        const before = highest.get(key) ?? 0;
        highest.set(key, Math.max(before, revision));
        return revision < before;
    });
};

/** Reads from the nodes' logs which configuration they put in force. */
export const revisionHistory = { collect, goingBack } as const;
