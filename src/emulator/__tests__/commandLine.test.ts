import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import { ExitCode } from "../../cli/ExitCode";
import { runCommandLine } from "../../cli/runCommandLine";
import { readTimeline } from "../../timeline/readTimeline";
import { renderTimelinePage } from "../../timeline/renderTimelinePage";
import { entryOf } from "../entryOf";
import { Mesh } from "../Mesh";
import { sampleMesh } from "../sampleMesh";

/** Runs the command line as an operator would and collects what it writes. */
const run = async (mesh: Mesh, ...argv: readonly string[]) => {
    const lines: string[] = [];
    const errors: string[] = [];
    let code = ExitCode.Succeeded;
    const shared = ["--controls", mesh.adminAddresses.join(","), "--token", "operator-token"];
    await runCommandLine([...shared, ...argv], {
        print: (line) => void lines.push(line),
        printError: (line) => void errors.push(line),
        exit: (given) => {
            code = given;
        },
    });
    return { code, output: lines.join("\n"), errors: errors.join("\n") };
};

describe("the command line", () => {
    let folder = "";

    beforeAll(async () => {
        folder = await mkdtemp(join(tmpdir(), "filbertdeal-cli-"));
    });

    afterAll(() => rm(folder, { recursive: true, force: true }));

    const entryFile = async (timeoutMs: number, change: object = {}): Promise<string> => {
        const path = join(folder, `entry-${timeoutMs}.yaml`);
        await writeFile(path, stringify({ ...entryOf("map", { backendVersion: "v1", timeoutMs }), ...change }));
        return path;
    };

    test("takes an entry from the file to its end, tells where it stands and takes it back", () =>
        sampleMesh({ zones: 2, hostsPerZone: 1, services: ["map"], withFaults: true, seed: 301 }, async (mesh) => {
            const first = await run(mesh, "apply", await entryFile(1_000), "--complete-within", "2m", "--wait");
            expect(first).toMatchObject({ code: ExitCode.Succeeded, errors: "" });
            expect(first.output).toMatch(/map: version 1 is accepted[^]*1 finished/);

            const conflict = await run(mesh, "apply", await entryFile(1_001), "--expected-version", "0");
            expect(conflict.code).toBe(ExitCode.Conflict);
            expect(conflict.errors).toMatch(/at version 1, not at the expected version 0.*apply again/);

            const refused = await run(mesh, "apply", await entryFile(1_002, { colour: "red" }));
            expect(refused.code).toBe(ExitCode.Refused);
            expect(refused.errors).toMatch(/colour/);

            expect((await run(mesh, "apply", await entryFile(1_003), "--wait")).code).toBe(ExitCode.Succeeded);
            const taken = await run(mesh, "take-back", "map", "--reason", "planners complain");
            expect(taken.output).toMatch(/version 2 is taken back; version 3 holds the earlier content/);
            const entry = JSON.parse((await run(mesh, "get", "map")).output) as {
                readonly version: number;
                readonly entry: { readonly content: { readonly routes: readonly { readonly timeoutMs: number; }[]; }; };
            };
            expect(entry).toMatchObject({ version: 3, entry: { content: { routes: [{ timeoutMs: 1_000 }, {}] } } });

            const status = await run(mesh, "status");
            expect(status.output).toMatch(/SERVICE +VERSION +STATE[^]*map +3/);
            expect((await run(mesh, "history", "map")).output.split("\n")).toHaveLength(3);
            expect((await run(mesh, "replicas")).output).toMatch(/control-1[^]*leader[^]*committed up to/);
            expect((await run(mesh, "hosts", mesh.hosts[0].host.advertised)).output).toMatch(/node-2 +zone-b +alive/);
            expect((await run(mesh, "status", "gone")).code).toBe(ExitCode.Refused);
            expect((await run(mesh, "--token", "wrong", "status")).code).toBe(ExitCode.Forbidden);
            expect((await run(mesh, "drain", mesh.hosts[0].host.advertised, "--secret", "wrong")).code).toBe(
                ExitCode.Forbidden,
            );

            const logs = [...mesh.replicas.map(({ id }) => id), ...mesh.hosts.map(({ id }) => id)];
            const paths = logs.map((id) => join(mesh.logFolder, `${id}.log`));
            const events = await mesh.until("the logs tell the whole story", async () => {
                const present = await readTimeline(paths, { service: "map" });
                const forced = present.filter(({ event, fields }) =>
                    event === "configuration-in-force" && fields.get("revision") === "5"
                );
                return forced.length === 2 ? present : undefined;
            });
            // Causes stand before their effects: an acceptance before every node that put it in force.
            const revisions = new Set(events.map(({ fields }) => fields.get("revision")));
            for (const revision of revisions) {
                const story = events.filter(({ fields }) => fields.get("revision") === revision).map(({ event }) =>
                    event
                );
                const lastAccepted = story.lastIndexOf("configuration-in-force");
                expect(story[0]).not.toBe("configuration-in-force");
                expect(lastAccepted).toBeGreaterThan(0);
            }
            expect(renderTimelinePage(events)).toMatch(/<svg[^]*move-taken-back[^]*planners complain/);
        }));
});
