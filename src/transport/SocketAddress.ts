/** The address of a listening process: an IP address and a TCP port. */
export type SocketAddress = {
    readonly host: string;
    readonly port: number;
};
