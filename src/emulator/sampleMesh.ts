import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Mesh } from "./Mesh";
import { MeshSpecification } from "./MeshSpecification";

/** The size of a mesh for one experiment. */
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

const hostsOf = ({ hostsPerZone, latencyMs = 2, services, slots = 12, zones }: MeshSize): MeshSpecification["hosts"] =>
    Array.from({ length: zones * hostsPerZone }, (_, number) => {
        const zone = `zone-${String.fromCharCode(97 + Math.floor(number / hostsPerZone))}`;
        const backends = services.map((service) => ({ service, backendVersion: "v1", slots, latencyMs }));
        return { id: `node-${number + 1}`, zone, backends };
    });

/**
 * Runs an experiment on a mesh of real processes and cleans up after it. Every host has a backend server of every
 * service, with the version label v1.
 */
export const sampleMesh = async <Result>(
    size: MeshSize,
    experiment: (mesh: Mesh) => Promise<Result>,
): Promise<Result> => {
    const folder = await mkdtemp(join(tmpdir(), "filbertdeal-mesh-"));
    const mesh = await Mesh.start({
        controls: size.controls ?? 3,
        hosts: hostsOf(size),
        services: size.services,
        folder,
        seed: size.seed,
        snapshotEvery: size.snapshotEvery,
        withFaults: size.withFaults,
    });
    try {
        return await experiment(mesh);
    }
    finally {
        await mesh.dispose();
        await rm(folder, { recursive: true, force: true });
    }
};
