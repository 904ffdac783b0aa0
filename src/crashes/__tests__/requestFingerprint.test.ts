import { requestFingerprint } from "../requestFingerprint";

const request = {
    method: "POST",
    target: "/records/1?draft=1",
    headers: ["Host", "maps.example", "X-Request", "r-1"],
    body: Buffer.from("spruce"),
    account: "city",
};

describe("the fingerprint of a request", () => {
    test("is the same for a resend with another id, at any host", () => {
        const resend = { ...request, headers: ["x-request", "r-2", "host", "MAPS.example", "x-deadline", "9"] };
        expect(requestFingerprint(resend)).toBe(requestFingerprint(request));
    });

    // Guards against a caller whose request has another caller's request refused.
    test.each([
        ["method", { method: "PUT" }],
        ["path", { target: "/records/2?draft=1" }],
        ["query", { target: "/records/1?draft=2" }],
        ["host", { headers: ["Host", "other.example"] }],
        ["body", { body: Buffer.from("oak") }],
        ["account", { account: "county" }],
        ["boundary of path and account", { target: "/records/1?draft=1\",\"city", account: "" }],
    ])("differs with another %s", (_name, change) => {
        expect(requestFingerprint({ ...request, ...change })).not.toBe(requestFingerprint(request));
    });
});
