import * as fc from "fast-check";
import { decodeUtf8 } from "../decodeUtf8";
import { parseJson } from "../parseJson";

describe("parseJson", () => {
    // Guards against review/6: text that has no UTF-8 encoding was acknowledged, and replicas stored other text.
    test.each([
        ["a value", "{\"name\":\"Plane \\ud83c\"}"],
        ["a key", "{\"Plane \\udf33\":1}"],
        ["a nested value", "[[{\"a\":[\"\\udf33\\ud83c\"]}]]"],
    ])("refuses an unpaired surrogate in %s", (_case, text) => {
        expect(() => parseJson(text)).toThrow(/has an unpaired surrogate/);
    });

    test.each(["1e400", "9007199254740993", "0.10000000000000000001", "[1.5,-12345678901234567890]"])(
        "refuses a number that a double does not hold: %s",
        (text) => expect(() => parseJson(text)).toThrow(/can't be kept exactly/),
    );

    test.each([["1e308", 1e308], ["-0", -0], ["1.50", 1.5], ["0e5", 0], ["1E3", 1_000], ["0.000001", 1e-6]])(
        "accepts another spelling of a number that it holds: %s",
        (text, value) => expect(parseJson(text)).toBe(value),
    );

    test("refuses a key that is given twice with different values, at any depth", () => {
        expect(() => parseJson("[{\"a\":{\"b\":1,\"b\":2}}]")).toThrow(/[Dd]uplicate key/);
    });

    test("keeps a key that names a property of all objects", () => {
        const text = "{ \"__proto__\": {\"x\": 1}, \"constructor\": 2 }";
        expect(JSON.stringify(parseJson(text))).toBe("{\"__proto__\":{\"x\":1},\"constructor\":2}");
    });

    test("returns the value of any JSON document, however it is spaced", () => {
        fc.assert(
            fc.property(fc.jsonValue({ noUnicodeString: false }), fc.nat(4), (value, indentation) => {
                const text = JSON.stringify(value, undefined, indentation);
                expect(JSON.stringify(parseJson(text))).toBe(JSON.stringify(JSON.parse(text)));
            }),
            { seed: 6 },
        );
    });
});

describe("decodeUtf8", () => {
    // Guards against review/10: bytes that are no UTF-8 were acknowledged with replaced characters.
    test.each([
        ["Latin-1", "22e922"],
        ["a character that is cut off", "22f09f8c"],
        ["an encoded surrogate", "22eda0bd22"],
        ["an overlong encoding", "22c0af22"],
    ])("refuses %s", (_case, hex) => {
        expect(() => decodeUtf8(Buffer.from(hex, "hex"))).toThrow(/not UTF-8/);
    });

    test("keeps a byte order mark, which is not JSON", () => {
        expect(() => parseJson(decodeUtf8(Buffer.from("efbbbf7b7d", "hex")))).toThrow(SyntaxError);
    });
});
