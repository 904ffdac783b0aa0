/** Where a process listens: an IP number and a TCP port. */
export type SocketAddress = {
    readonly host: string;
    readonly port: number;
};
