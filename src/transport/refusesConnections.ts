import { connect } from "node:net";
import { parseAddress } from "./parseAddress";

/** A connection on the same host is accepted or refused far sooner. */
const TIMEOUT_MS = 100;

/** Resolves to true if connections to IP:PORT are refused. Without an answer in time nothing is known: false. */
export const refusesConnections = (address: string): Promise<boolean> => {
    const target = parseAddress(address);
    if (!target) {
        return Promise.resolve(false);
    }
    return new Promise((resolve) => {
        const socket = connect({ host: target.host, port: target.port });
        const finish = (isRefused: boolean): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isRefused);
        };
        const timer = setTimeout(() => finish(false), TIMEOUT_MS);
        socket.on("connect", () => finish(false));
        socket.on("error", () => finish(true));
    });
};
