import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Mesh } from "./Mesh";
import { MeshSpecification } from "./MeshSpecification";

/** Runs an experiment on a mesh of real processes in a temporary folder, then stops the mesh and deletes the folder. */
export const withMesh = async <Result>(
    specification: Omit<MeshSpecification, "folder">,
    experiment: (mesh: Mesh) => Promise<Result>,
): Promise<Result> => {
    const folder = await mkdtemp(join(tmpdir(), "filbertdeal-mesh-"));
    const mesh = await Mesh.start({ ...specification, folder });
    try {
        return await experiment(mesh);
    }
    finally {
        await mesh.dispose();
        await rm(folder, { recursive: true, force: true });
    }
};
