import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import { ExitCode } from "../../cli/ExitCode";
import { runCommandLine } from "../../cli/runCommandLine";
import { readTimeline } from "../../timeline/readTimeline";
import { renderTimelinePage } from "../../timeline/renderTimelinePage";
import { createEntry } from "../createEntry";
import { Mesh } from "../Mesh";
import { withUniformMesh } from "../withUniformMesh";

/** Runs one command of the operators' command line and returns its exit code and output. */
const runCli = async (mesh: Mesh, ...argv: readonly string[]) => {
    const lines: string[] = [];
    const errors: string[] = [];
    let code = ExitCode.Succeeded;
    const sharedFlags = ["--controls", mesh.adminAddresses.join(","), "--token", "operator-token"];
    await runCommandLine([...sharedFlags, ...argv], {
        print: (line) => void lines.push(line),
        printError: (line) => void errors.push(line),
        exit: (exitCode) => {
            code = exitCode;
        },
    });
    return { code, output: lines.join("\n"), errors: errors.join("\n") };
};

describe("the operators' command line", () => {
    let folder = "";

    beforeAll(async () => {
        folder = await mkdtemp(join(tmpdir(), "filbertdeal-cli-"));
    });

    afterAll(() => rm(folder, { recursive: true, force: true }));

    const writeEntryFile = async (timeoutMs: number, extraFields: object = {}): Promise<string> => {
        const path = join(folder, `entry-${timeoutMs}.yaml`);
        await writeFile(
            path,
            stringify({ ...createEntry("map", { backendVersion: "v1", timeoutMs }), ...extraFields }),
        );
        return path;
    };

    test("applies an entry from a file, shows its status and history, and rolls it back", () =>
        withUniformMesh({ zones: 2, hostsPerZone: 1, services: ["map"], withFaults: true, seed: 301 }, async (mesh) => {
            const first = await runCli(mesh, "apply", await writeEntryFile(1_000), "--complete-within", "2m", "--wait");
            expect(first).toMatchObject({ code: ExitCode.Succeeded, errors: "" });
            expect(first.output).toMatch(/map: version 1 is accepted[^]*1 finished/);

            const conflict = await runCli(mesh, "apply", await writeEntryFile(1_001), "--expected-version", "0");
            expect(conflict.code).toBe(ExitCode.Conflict);
            expect(conflict.errors).toMatch(/at version 1, not at the expected version 0.*apply again/);

            const refused = await runCli(mesh, "apply", await writeEntryFile(1_002, { colour: "red" }));
            expect(refused.code).toBe(ExitCode.Refused);
            expect(refused.errors).toMatch(/colour/);

            expect((await runCli(mesh, "apply", await writeEntryFile(1_003), "--wait")).code).toBe(ExitCode.Succeeded);
            const rollback = await runCli(mesh, "take-back", "map", "--reason", "planners complain");
            expect(rollback.output).toMatch(/version 2 is taken back; version 3 holds the earlier content/);
            const entry = JSON.parse((await runCli(mesh, "get", "map")).output) as {
                readonly version: number;
                readonly entry: { readonly content: { readonly routes: readonly { readonly timeoutMs: number; }[]; }; };
            };
            expect(entry).toMatchObject({ version: 3, entry: { content: { routes: [{ timeoutMs: 1_000 }, {}] } } });

            const status = await runCli(mesh, "status");
            expect(status.output).toMatch(/SERVICE +VERSION +STATE[^]*map +3/);
            expect((await runCli(mesh, "history", "map")).output.split("\n")).toHaveLength(3);
            expect((await runCli(mesh, "replicas")).output).toMatch(/control-1[^]*leader[^]*committed up to/);
            expect((await runCli(mesh, "hosts", mesh.hosts[0].host.advertised)).output).toMatch(
                /node-2 +zone-b +alive/,
            );
            expect((await runCli(mesh, "status", "gone")).code).toBe(ExitCode.Refused);
            expect((await runCli(mesh, "--token", "wrong", "status")).code).toBe(ExitCode.Forbidden);
            expect((await runCli(mesh, "drain", mesh.hosts[0].host.advertised, "--secret", "wrong")).code).toBe(
                ExitCode.Forbidden,
            );

            const logs = [...mesh.replicas.map(({ id }) => id), ...mesh.hosts.map(({ id }) => id)];
            const paths = logs.map((id) => join(mesh.logFolder, `${id}.log`));
            const events = await mesh.waitUntil("both nodes have logged that revision 5 is in force", async () => {
                const written = await readTimeline(paths, { service: "map" });
                const applied = written.filter(({ event, fields }) =>
                    event === "configuration-in-force" && fields.get("revision") === "5"
                );
                return applied.length === 2 ? written : undefined;
            });
            // The timeline is in causal order: a revision is accepted before any node puts it in force.
            const revisions = new Set(events.map(({ fields }) => fields.get("revision")));
            for (const revision of revisions) {
                const eventNames = events.filter(({ fields }) => fields.get("revision") === revision).map(({ event }) =>
                    event
                );
                const lastInForce = eventNames.lastIndexOf("configuration-in-force");
                expect(eventNames[0]).not.toBe("configuration-in-force");
                expect(lastInForce).toBeGreaterThan(0);
            }
            expect(renderTimelinePage(events)).toMatch(/<svg[^]*move-taken-back[^]*planners complain/);
        }));
});
