import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { ElapsedClock } from "./ElapsedClock";
import { keyLease } from "./keyLease";
import { LeaseStatus } from "./LeaseStatus";

/** Dependencies and settings of the task. */
type LeaseTaskOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Time after a key was withdrawn until no request with it is served. */
    readonly revocationMs: number;
    /** The configuration in force; without client accounts no lease is needed. */
    readonly held: () => { readonly version: number; readonly hasAccounts: boolean; };
    /**
     * Sends a renewal to a control replica, or to all of them if the address is undefined. Returns false if that replica
     * is not connected.
     */
    readonly send: (number: number, address: string | undefined) => boolean;
};

/** How often the task checks whether a renewal is due. Short compared to the time for an answer. */
const CHECK_INTERVAL_MS = 50;

/** Keeps this node's lease for requests with keys. It is held in memory only, so a restarted node has none. */
export class LeaseTask implements Disposable {
    private readonly resources = new DisposableStore();
    private lease: typeof keyLease.initial = keyLease.initial;
    private lastStatus: LeaseStatus = "no-lease";
    private readonly clock: ElapsedClock;

    public constructor(private readonly options: LeaseTaskOptions) {
        this.clock = new ElapsedClock(options.clock);
        this.resources.every(CHECK_INTERVAL_MS, () => this.check());
    }

    /** Time between renewals: the next one may end the refusals. */
    public get renewalIntervalMs(): number {
        return keyLease.renewalIntervalMs(this.options.revocationMs);
    }

    public status(): LeaseStatus {
        return keyLease.statusOf(this.lease, this.options.held().version, this.clock.nowMs());
    }

    /** Time until the lease expires; 0 without one. */
    public remainingMs(): number {
        return keyLease.remainingMs(this.lease, this.clock.nowMs());
    }

    /** Handles a leader's answer to a renewal. */
    public onGrant(address: string, grant: Parameters<typeof keyLease.grant>[2]): void {
        this.lease = keyLease.grant(this.lease, address, grant, this.options.revocationMs);
        this.logChange();
    }

    /** Sends a renewal if one is due. */
    public check(): void {
        const { held, revocationMs, send } = this.options;
        if (!held().hasAccounts) {
            return;
        }
        const { renewal, state } = keyLease.renew(this.lease, this.clock.nowMs(), revocationMs);
        this.lease = state;
        if (renewal && !send(renewal.number, renewal.address)) {
            send(renewal.number, undefined);
        }
        this.logChange();
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private logChange(): void {
        const status = this.status();
        if (status === this.lastStatus) {
            return;
        }
        this.lastStatus = status;
        const { grantor: control, leases } = this.lease;
        this.options.log.info("lease-changed", {
            status,
            heldVersion: this.options.held().version,
            requiredVersion: leases.at(-1)?.version,
            control,
            leftMs: Math.round(this.remainingMs()),
        });
    }
}
