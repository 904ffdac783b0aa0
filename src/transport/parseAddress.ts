import { isIP } from "node:net";
import { SocketAddress } from "./SocketAddress";

/** Parses "IP:PORT". Returns undefined if the text is not an address. */
export const parseAddress = (text: string): SocketAddress | undefined => {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, separator);
    const portText = text.slice(separator + 1);
    const port = Number(portText);
    const valid = separator > 0 && isIP(host) !== 0 && /^\d{1,5}$/.test(portText) && port < 65536;
    return valid ? { host, port } : undefined;
};
