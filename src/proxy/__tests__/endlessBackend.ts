import { createServer } from "node:net";
import { parentPort } from "node:worker_threads";

/**
 * Runs in a worker, so that it takes no time of the event loop of the node that is tested: a backend server that answers
 * requests for `/endless/N` by the form N of responses without an end, and all others at once. Posts its port.
 */
const head = "HTTP/1.1 200 OK\r\n";
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const filler = "x".repeat(16_384);

/** What is sent once at the start, and what is sent again and again. */
const forms = [
    ["", filler],
    ["", "\r\n".repeat(8_192)],
    ["HTTP/1.1 200 ", filler],
    [head, "X-Filler: filler\r\n".repeat(900)],
    [`${head}X-Filler: `, filler],
    ["", "HTTP/1.1 102 Processing\r\n\r\n".repeat(600)],
    [chunked, `4000\r\n${filler}\r\n`],
    [chunked, "1\r\nx\r\n".repeat(2_000)],
    [chunked, "0".repeat(16_384)],
    [`${chunked}5;extension=`, filler],
    [`${chunked}1\r\nx\r\n0\r\n`, "X-Filler: filler\r\n".repeat(900)],
    [`${head}Connection: close\r\n\r\n`, filler],
    [`${head}Content-Length: 99999999999\r\n\r\n`, filler],
    [`${head}Content-Length: 2\r\n\r\nok`, filler],
    ["HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", `4000\r\n${filler}\r\n`],
];

const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (chunk) => {
        const [, number] = /^GET \/endless\/(\d+)/.exec(String(chunk)) ?? [];
        if (number === undefined) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntile");
            return;
        }
        const [start, repeated] = forms[Number(number)];
        const sendMore = (): void => {
            while (!socket.destroyed && socket.write(repeated)) {
                // Until the buffer of the socket is full.
            }
        };
        socket.on("drain", sendMore);
        socket.write(start);
        sendMore();
    });
});
server.listen(0, "127.0.0.1", () => {
    const bound = server.address();
    parentPort?.postMessage({
        port: typeof bound === "object" && bound ? bound.port : 0,
        forms: forms.length,
    });
});
