import { parseAddress } from "./parseAddress";
import { SocketAddress } from "./SocketAddress";

/** Parses "IP:PORT". Any other text, such as an empty one, gives 127.0.0.1 with port 0, which selects a free port. */
export const parseAddressOrDefault = (text: string): SocketAddress =>
    parseAddress(text) ?? { host: "127.0.0.1", port: 0 };
