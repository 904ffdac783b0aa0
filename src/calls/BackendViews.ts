import { BackendLoad } from "./BackendLoad";
import { BackendView } from "./BackendView";
import { CallResult } from "./CallResult";

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
    private readonly views = new Map<string, BackendView>();

    public viewOf({ instanceId, nodeId }: { readonly instanceId: string; readonly nodeId: string; }): BackendView {
        return this.views.get(`${nodeId}/${instanceId}`) ?? unknownView;
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
    public keepOnly(keys: ReadonlySet<string>): void {
        for (const [key, { outstanding }] of this.views) {
            if (!keys.has(key) && outstanding === 0) {
                this.views.delete(key);
            }
        }
    }

    private change(nodeId: string, instanceId: string, change: (view: BackendView) => Partial<BackendView>): void {
        const key = `${nodeId}/${instanceId}`;
        const view = this.views.get(key) ?? unknownView;
        this.views.set(key, { ...view, ...change(view) });
    }
}
