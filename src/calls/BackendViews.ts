import { BackendLoad } from "./BackendLoad";
import { BackendView } from "./BackendView";
import { CallResult } from "./CallResult";

type BackendKey = { readonly instanceId: string; readonly nodeId: string; };

/** The way to the backend server, or the node beside it, does not work. */
const lostReasons: ReadonlySet<string> = new Set(["unreachable", "broken", "silent", "not-here"]);

const unknownView: BackendView = {
    outstanding: 0,
    others: 0,
    serviceMs: undefined,
    failureShare: 0,
    unreachableInARow: 0,
    heardMs: 0,
};

/** Keeps what this node knows of each backend server, by node and instance. */
export class BackendViews {
    private readonly nodes = new Map<string, Map<string, BackendView>>();

    public viewOf({ instanceId, nodeId }: BackendKey): BackendView {
        return this.nodes.get(nodeId)?.get(instanceId) ?? unknownView;
    }

    public begin(nodeId: string, instanceId: string): void {
        this.change(nodeId, instanceId, (view) => ({ outstanding: view.outstanding + 1 }));
    }

    public end(nodeId: string, instanceId: string, result: CallResult, nowMs: number): void {
        const lost = result.kind !== "answered" && lostReasons.has(result.reason);
        this.change(nodeId, instanceId, (view) => ({
            outstanding: Math.max(0, view.outstanding - 1),
            unreachableInARow: lost ? view.unreachableInARow + 1 : 0,
            heardMs: nowMs,
        }));
    }

    /** Takes in what a node says of its backend server. */
    public hear(nodeId: string, load: BackendLoad, nowMs: number): void {
        this.change(nodeId, load.instanceId, () => ({
            others: Math.max(0, load.total - load.yours),
            serviceMs: load.serviceMs,
            failureShare: load.failureShare,
            heardMs: nowMs,
        }));
    }

    /** Forgets backend servers that are gone. */
    public keepOnly(present: readonly BackendKey[]): void {
        const keys = new Set(present.map(({ instanceId, nodeId }) => `${nodeId}/${instanceId}`));
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
