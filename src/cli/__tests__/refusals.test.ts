import { createServer, Server } from "node:http";
import { AddressInfo } from "node:net";
import { ExitCode } from "../ExitCode";
import { runCommandLine } from "../runCommandLine";

describe("filbertdeal refusals", () => {
    let server: Server;
    let calls: string[];
    let answer: { readonly status: number; readonly body: unknown; };

    beforeEach(async () => {
        calls = [];
        server = createServer((request, response) => {
            calls.push(`${request.method} ${request.url}`);
            response.writeHead(answer.status).end(JSON.stringify(answer.body));
        });
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => server.close());

    const run = async (...rest: readonly string[]) => {
        let output = "";
        let code = ExitCode.Succeeded;
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        await runCommandLine(["refusals", "--operators", address, ...rest], {
            print: (text) => (output += text),
            printError: (text) => (output += text),
            exit: (given) => (code = given),
        });
        return { code, output };
    };

    test("lists the requests under which backend servers crashed", async () => {
        const request = { Fingerprint: "f-1", ServiceName: "maps", Crashes: 3, State: "refused", RetryAfter: "590s" };
        answer = { status: 200, body: { Requests: [request] } };
        const { code, output } = await run();
        expect(code).toBe(ExitCode.Succeeded);
        expect(output).toMatch(/f-1 +maps +3 +refused +590s/);
        answer = { status: 200, body: { Requests: [] } };
        expect(await run()).toMatchObject({ output: "no backend server crashed under a request lately" });
        expect(calls).toEqual(["GET /filbertdeal/Refusals.List", "GET /filbertdeal/Refusals.List"]);
    });

    test("lifts one, says so if there is none, and reports a rejection", async () => {
        answer = { status: 200, body: { Lifted: true } };
        expect(await run("--lift", "f-1")).toEqual({ code: ExitCode.Succeeded, output: "f-1 is served again" });
        expect(calls).toEqual(["POST /filbertdeal/Refusals.Lift/f-1"]);
        answer = { status: 200, body: { Lifted: false } };
        expect(await run("--lift", "f-2")).toMatchObject({ output: "no crash counts against f-2" });
        answer = { status: 405, body: { Error: "GET is not a method of it" } };
        expect(await run("--lift", "f-1")).toEqual({
            code: ExitCode.Refused,
            output: "error: GET is not a method of it",
        });
    });
});
