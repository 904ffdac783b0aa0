import { Socket } from "node:net";
import { Clock } from "../core/Clock";
import { slowestReader } from "./slowestReader";

/** Dependencies and settings of the responses. */
type UnreadResponsesOptions = {
    readonly clock: Clock;
    /** Limit of all responses together. */
    readonly limitBytes: number;
    /** Called when a caller's connection is closed because it reads too slowly while room is short. */
    readonly onClosed: (bytes: number) => void;
};

type HeldResponse = {
    readonly bytes: number;
    readonly sinceMs: number;
    readonly socket: Socket;
    readonly waitingBytes: number;
};

/** Limits the memory of responses that callers have not read: when it is used up, the slowest reader is disconnected. */
export class UnreadResponses {
    private readonly responses = new Map<Socket, Set<HeldResponse>>();
    private total = 0;

    public constructor(private readonly options: UnreadResponsesOptions) {}

    public get heldBytes(): number {
        return this.total;
    }

    /** Holds a response until the returned function is called or the connection closes. */
    public hold(socket: Socket, bytes: number): () => void {
        if (socket.closed) {
            return () => undefined;
        }
        const sinceMs = this.options.clock.monotonicMs();
        const response: HeldResponse = {
            bytes,
            sinceMs,
            socket,
            get waitingBytes() {
                return Math.min(bytes, socket.writableLength);
            },
        };
        this.responsesOf(socket).add(response);
        this.total += bytes;
        this.makeRoom(response);
        return () => this.release(response);
    }

    private responsesOf(socket: Socket): Set<HeldResponse> {
        const existing = this.responses.get(socket);
        if (existing) {
            return existing;
        }
        const responses = new Set<HeldResponse>();
        this.responses.set(socket, responses);
        socket.once("close", () => {
            responses.forEach((response) => this.release(response));
            this.responses.delete(socket);
        });
        return responses;
    }

    private release(response: HeldResponse): void {
        if (this.responses.get(response.socket)?.delete(response)) {
            this.total -= response.bytes;
        }
    }

    private makeRoom(newest: HeldResponse): void {
        const { clock, limitBytes, onClosed } = this.options;
        while (this.total > limitBytes) {
            const others = [...this.responses.values()].flatMap((responses) => [...responses])
                .filter((response) => response !== newest);
            const slowest = slowestReader(others, clock.monotonicMs()) ?? newest;
            onClosed(slowest.bytes);
            this.release(slowest);
            slowest.socket.destroy();
        }
    }
}
