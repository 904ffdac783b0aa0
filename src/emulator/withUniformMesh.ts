import { Mesh } from "./Mesh";
import { MeshSpecification } from "./MeshSpecification";
import { withMesh } from "./withMesh";

/** The size of a mesh whose hosts are all alike. */
type MeshSize = {
    readonly zones: number;
    readonly hostsPerZone: number;
    readonly services: readonly string[];
    readonly seed: number;
    readonly withFaults: boolean;
    readonly controls?: number;
    readonly snapshotEvery?: number;
    readonly slots?: number;
    readonly latencyMs?: number;
};

const createHosts = (
    { hostsPerZone, latencyMs = 2, services, slots = 12, zones }: MeshSize,
): MeshSpecification["hosts"] =>
    Array.from({ length: zones * hostsPerZone }, (_, number) => {
        const zone = `zone-${String.fromCharCode(97 + Math.floor(number / hostsPerZone))}`;
        const backends = services.map((service) => ({ service, backendVersion: "v1", slots, latencyMs }));
        return { id: `node-${number + 1}`, zone, backends };
    });

/**
 * Runs an experiment on a mesh of real processes and cleans up afterwards. Each host has one backend server of each
 * service, with backend version v1.
 */
export const withUniformMesh = <Result>(
    size: MeshSize,
    experiment: (mesh: Mesh) => Promise<Result>,
): Promise<Result> => {
    const { controls = 3, seed, services, snapshotEvery, withFaults } = size;
    return withMesh({ controls, hosts: createHosts(size), services, seed, snapshotEvery, withFaults }, experiment);
};
