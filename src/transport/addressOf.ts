import { parseAddress } from "./parseAddress";
import { SocketAddress } from "./SocketAddress";

/** Reads "IP:PORT". A text that is no address, such as an empty one, stands for any free port of this host. */
export const addressOf = (text: string): SocketAddress => parseAddress(text) ?? { host: "127.0.0.1", port: 0 };
