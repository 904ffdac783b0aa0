import { MeshRoute } from "../configuration/MeshRoute";
import { Clock } from "../core/Clock";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { CallDispatcher } from "./CallDispatcher";
import { HeaderNames } from "./HeaderNames";
import { IngressStage } from "./IngressStage";
import { RouteLookup } from "./RouteLookup";

/** What all callers together may make a node hold. */
type IngressLimits = {
    readonly bodyBytes: number;
    readonly unreadResponseBytes: number;
    readonly connections: number;
};

/** Dependencies and settings of the server. */
export type IngressOptions = {
    readonly names: HeaderNames;
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "settle" | "unreadMs">;
    readonly dispatcher: CallDispatcher;
    /** The service of the backend server on this host. */
    readonly callerService: string;
    /** Returns undefined until this node has a configuration. */
    readonly findRoute: (host: string, target: string) => RouteLookup | undefined;
    /** The decisions that each request passes in this order before it is dispatched. */
    readonly stages: readonly IngressStage[];
    readonly chooseService: (route: MeshRoute) => string;
    /** Called for each request that was read, with the time for which it may have waited unread. */
    readonly onRead: (requestId: string, unreadMs: number) => void;
    readonly limits: IngressLimits;
    /** Called when a caller's connection is closed so that the process stays within a limit. */
    readonly onDisconnected: (reason: "idle" | "slow-reader") => void;
    readonly onRefusal: (refusal: RefusedRequest) => void;
    readonly onServed: (request: ServedRequest) => void;
};

/** A request that was answered with the response of a backend server. */
type ServedRequest = {
    readonly requestId: string;
    readonly route: string;
    readonly status: number;
    readonly elapsedMs: number;
    /** How long after its target the response came; negative if it was on time. */
    readonly lateMs: number;
    /** Time between the caller's first attempt and this one, as far as this node knows; 0 for a first attempt. */
    readonly earlierMs: number;
};

/** A request that this node refused or could not complete, and why. */
type RefusedRequest = {
    readonly requestId: string;
    readonly route: string | undefined;
    /** Name of the caller's client account, if it is known. */
    readonly account: string | undefined;
    readonly configurationVersion: number;
    /** The status of the response, or 0 if the caller's connection failed. */
    readonly status: number;
    readonly reason: string;
    readonly elapsedMs: number;
    readonly remainingMs: number;
};
