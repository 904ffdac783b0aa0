import { resolve } from "node:path";
import { ExitCode } from "../ExitCode";
import { runCommandLine } from "../runCommandLine";

const EXAMPLE = resolve(__dirname, "..", "..", "..", "..", "examples", "lipa-map.yaml");

describe("the command line without a reachable control replica", () => {
    test.each([
        ["apply", [EXAMPLE]],
        ["take-back", ["lipa-map"]],
        ["status", []],
    ])("%s reports that no replica answered, not a version conflict", async (command, rest) => {
        let code = ExitCode.Succeeded;
        let errors = "";
        await runCommandLine(["--controls", "127.0.0.1:1", command, ...rest], {
            print: () => undefined,
            printError: (text) => (errors += text),
            exit: (given) => (code = given),
        });
        expect({ code, errors }).toEqual({
            code: ExitCode.Unavailable,
            errors: "error: no control replica answered. Check --controls",
        });
    });
});
