import { BackendNotice } from "./BackendNotice";
import { CallRequest } from "./CallRequest";
import { LocalInstance } from "./LocalInstance";
import { localInstances } from "./localInstances";

const nothingStated: BackendNotice = { limitPerSecond: undefined, isLeaving: false };

/** Holds what the backend server of this host states about itself, in announcements and in its responses. */
export class BackendStatements {
    /** True while the zone of this host is evacuated. */
    public isEvacuated = false;
    private currentInstance: LocalInstance | undefined;
    private currentNotice = nothingStated;

    /** @param drainGraceMs for how long a backend server that is draining still gets requests, since it announced that */
    public constructor(private readonly drainGraceMs: number) {}

    public get instance(): LocalInstance | undefined {
        return this.currentInstance;
    }

    /** The limit that it last stated, in requests a second. */
    public get limitPerSecond(): number | undefined {
        return this.currentNotice.limitPerSecond;
    }

    /**
     * Applies the announced state, undefined if there is no backend server.
     * @returns whether it is another start, and whether it is an announcement that was not known before
     */
    public announce(instance: LocalInstance | undefined): { readonly isNewStart: boolean; readonly isNew: boolean; } {
        const previous = this.currentInstance;
        const isNewStart = instance?.id !== previous?.id || instance?.bornMs !== previous?.bornMs;
        if (isNewStart) {
            this.currentNotice = nothingStated;
        }
        this.currentInstance = instance;
        return { isNewStart, isNew: isNewStart || instance?.sequence !== previous?.sequence };
    }

    /**
     * Applies what a response stated. From the first one that says so, the backend server is draining.
     * @returns whether that differs from what it stated before; undefined if it is not the backend server of this host
     */
    public applyNotice(instanceId: string, notice: BackendNotice, nowMs: number): boolean | undefined {
        const { currentInstance: instance, currentNotice: previous } = this;
        if (!instance || instance.id !== instanceId) {
            return undefined;
        }
        this.currentNotice = notice;
        if (notice.isLeaving) {
            this.currentInstance = localInstances.deregister(instance, instance.id, instance.bornMs, nowMs);
        }
        return notice.limitPerSecond !== previous.limitPerSecond || notice.isLeaving !== previous.isLeaving;
    }

    /** True if the request is for the backend server that is now on this host, and that one still accepts requests. */
    public accepts({ instanceId, service }: CallRequest, nowMs: number): boolean {
        const { currentInstance: instance } = this;
        if (this.isEvacuated || !instance || instance.id !== instanceId || instance.service !== service) {
            return false;
        }
        const { drainingSinceMs } = instance;
        return drainingSinceMs === undefined || nowMs - drainingSinceMs < this.drainGraceMs;
    }
}
