import { BackendLoad } from "./BackendLoad";
import { BackendView } from "./BackendView";
import { CallResult } from "./CallResult";

type BackendKey = { readonly instanceId: string; readonly nodeId: string; };

/** Reasons that mean that the backend server, its node or the link to it could not be reached. */
const unreachableReasons: ReadonlySet<string> = new Set([
    "unreachable",
    "link-down",
    "link-broken",
    "broken",
    "backend-ended",
    "silent",
    "not-here",
    "evacuated",
]);

const unknownView: BackendView = {
    outstanding: 0,
    fromOtherNodes: 0,
    serviceMs: undefined,
    failureShare: 0,
    pacingMs: 0,
    nextSendAtMs: 0,
    coldUntilMs: 0,
    consecutiveUnreachable: 0,
    updatedAtMs: 0,
};

/** Holds what this node knows of each backend server, by node and instance. */
export class BackendViews {
    private readonly nodes = new Map<string, Map<string, BackendView>>();

    public viewOf({ instanceId, nodeId }: BackendKey): BackendView {
        return this.nodes.get(nodeId)?.get(instanceId) ?? unknownView;
    }

    public begin(nodeId: string, instanceId: string, nowMs: number): void {
        this.change(nodeId, instanceId, ({ nextSendAtMs, outstanding, pacingMs }) => ({
            outstanding: outstanding + 1,
            nextSendAtMs: Math.max(nowMs, nextSendAtMs) + pacingMs,
        }));
    }

    public end(nodeId: string, instanceId: string, result: CallResult, nowMs: number): void {
        const isUnreachable = result.kind !== "answered" && unreachableReasons.has(result.reason);
        this.change(nodeId, instanceId, (view) => ({
            outstanding: Math.max(0, view.outstanding - 1),
            consecutiveUnreachable: isUnreachable ? view.consecutiveUnreachable + 1 : 0,
            updatedAtMs: nowMs,
        }));
    }

    /** Records the load that a node reports for its backend server. */
    public updateLoad(nodeId: string, load: BackendLoad, nowMs: number): void {
        this.change(nodeId, load.instanceId, ({ coldUntilMs }) => ({
            fromOtherNodes: Math.max(0, load.total - load.yours),
            serviceMs: load.serviceMs,
            failureShare: load.failureShare,
            pacingMs: load.pacingMs ?? 0,
            coldUntilMs: load.coldRemainingMs === undefined
                ? Math.min(coldUntilMs, nowMs)
                : nowMs + load.coldRemainingMs,
            otherZoneRoom: load.otherZoneRoom,
            updatedAtMs: nowMs,
        }));
    }

    /** Removes backend servers that are no longer listed and have no outstanding requests. */
    public keepOnly(current: readonly BackendKey[]): void {
        const keys = new Set(current.map(({ instanceId, nodeId }) => `${nodeId}/${instanceId}`));
        for (const [nodeId, views] of this.nodes) {
            for (const [instanceId, { outstanding }] of views) {
                if (outstanding === 0 && !keys.has(`${nodeId}/${instanceId}`)) {
                    views.delete(instanceId);
                }
            }
            if (views.size === 0) {
                this.nodes.delete(nodeId);
            }
        }
    }

    private change(nodeId: string, instanceId: string, change: (view: BackendView) => Partial<BackendView>): void {
        const views = this.nodes.get(nodeId) ?? new Map<string, BackendView>();
        const view = views.get(instanceId) ?? unknownView;
        views.set(instanceId, { ...view, ...change(view) });
        this.nodes.set(nodeId, views);
    }
}
