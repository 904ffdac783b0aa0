import { spawnSync } from "node:child_process";
import { resolve } from "node:path";

const modulePath = resolve(__dirname, "../runProgram.js");

const run = (main: string) =>
    spawnSync(process.execPath, ["-e", `require(${JSON.stringify(modulePath)}).runProgram(${main})`]);

describe("runProgram", () => {
    test("survives a SIGHUP (settings reload) that arrives while the program starts", () => {
        const main = `async () => {
            process.kill(process.pid, "SIGHUP");
            await new Promise((resolve) => setTimeout(resolve, 50));
            process.stdout.write("started");
        }`;
        const { signal, status, stdout } = run(main);
        expect({ signal, status, text: String(stdout) }).toMatchObject({ status: 0, text: "started" });
    });

    test("exits with code 1 and prints the error when the program fails to start", () => {
        const { status, stderr } = run("async () => { throw new Error(\"no settings\"); }");
        expect(status).toBe(1);
        expect(String(stderr)).toContain("no settings");
    });
});
