import { Socket } from "node:net";
import { CallerBodies } from "./CallerBodies";
import { CallerConnections } from "./CallerConnections";
import { ConnectionBacklog } from "./ConnectionBacklog";
import { IngressOptions } from "./IngressOptions";
import { UnreadResponses } from "./UnreadResponses";

type CallerResourcesOptions = Pick<IngressOptions, "clock" | "limits" | "onDisconnected" | "turns">;

/** What callers make a node hold: connections, bodies and responses, each within its limit. */
export class CallerResources {
    public readonly connections: CallerConnections;
    public readonly bodies: CallerBodies;
    public readonly unreadResponses: UnreadResponses;
    public readonly backlog: ConnectionBacklog;

    public constructor({ clock, limits, onDisconnected, turns }: CallerResourcesOptions) {
        this.backlog = new ConnectionBacklog({ clock, turns });
        this.bodies = new CallerBodies({ clock, limitBytes: limits.bodyBytes });
        this.unreadResponses = new UnreadResponses({
            clock,
            limitBytes: limits.unreadResponseBytes,
            onClosed: () => onDisconnected("slow-reader"),
        });
        this.connections = new CallerConnections({
            clock,
            maximum: limits.connections,
            onClosed: () => onDisconnected("idle"),
        });
    }

    /** To be called for each connection when it has been accepted. */
    public accept(socket: Socket): void {
        this.backlog.onAccepted(socket);
        this.connections.accept(socket);
    }
}
