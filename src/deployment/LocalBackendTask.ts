import { CallReceiver } from "../calls/CallReceiver";
import { CallRequest } from "../calls/CallRequest";
import { CallResult } from "../calls/CallResult";
import { LocalInstance } from "../calls/LocalInstance";
import { localInstances } from "../calls/localInstances";
import { Clock } from "../core/Clock";
import { EventLog } from "../core/EventLog";
import { DepartureTask } from "../departures/DepartureTask";
import { BackendEndpoint } from "../membership/BackendEndpoint";
import { EndpointState } from "../membership/EndpointState";
import { membershipOperations } from "../membership/membershipOperations";
import { MembershipTask } from "../membership/MembershipTask";

/** Dependencies of a `LocalBackendTask`. */
type LocalBackendOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly receiver: CallReceiver;
    readonly membership: MembershipTask;
    readonly departures: Pick<DepartureTask, "areKnown" | "find" | "record">;
};

type Announcement = Parameters<typeof localInstances.announce>[1];

/** Instances follow one another on a host, and the newest one counts. */
const MAXIMUM_HELD_ANNOUNCEMENTS = 8;

/** Results of requests whose connection the backend server refused. */
const refusedReasons: ReadonlySet<string> = new Set(["unreachable", "backend-ended"]);

/** Endpoints are published when their key changes. It omits the slow start, since each announcement changes that. */
const endpointsKey = (endpoints: readonly BackendEndpoint[]): string =>
    JSON.stringify(endpoints.map((endpoint) => ({ ...endpoint, coldRemainingMs: 0 })));

/** Handles the announcements of the backend server of this host and publishes its state to the other nodes. */
export class LocalBackendTask {
    /** Announcements of starts that may have left before this process started. */
    private held: readonly Announcement[] = [];
    private stopping = false;

    public constructor(private readonly options: LocalBackendOptions) {}

    /** Handles an announcement. Resolves to whether it may be acknowledged: leaving binds also later processes. */
    public announce(announcement: Announcement): Promise<boolean> {
        const { departures, receiver } = this.options;
        const { bornMs, id, leaving } = announcement;
        if (leaving) {
            this.apply(announcement);
            return departures.record({ instanceId: id, bornMs });
        }
        if (departures.areKnown || localInstances.isKnown(receiver.localInstance, id, bornMs)) {
            this.apply(announcement);
        }
        else {
            this.held = [...this.held, announcement].slice(-MAXIMUM_HELD_ANNOUNCEMENTS);
        }
        return Promise.resolve(true);
    }

    /**
     * Deregisters an instance. Resolves to whether that may be acknowledged.
     * @param bornMs Unix time in ms at which the deregistered process started; 0 if the message does not state it
     */
    public deregister(id: string, bornMs: number): Promise<boolean> {
        const { clock, departures, receiver } = this.options;
        const { localInstance } = receiver;
        if (!localInstances.isKnown(localInstance, id, bornMs)) {
            return departures.record({ instanceId: id, bornMs });
        }
        this.updateInstance(
            localInstances.deregister(localInstance, id, bornMs, clock.monotonicMs()),
            "instance-leaving",
        );
        return departures.record({ instanceId: id, bornMs: localInstance.bornMs });
    }

    /** Takes in how a request at the backend server ended. */
    public onResult({ instanceId }: Pick<CallRequest, "instanceId">, result: CallResult): void {
        const { clock, receiver } = this.options;
        if (result.kind === "answered" || !refusedReasons.has(result.reason)) {
            return;
        }
        const { localInstance } = receiver;
        const next = localInstances.refuseConnections(localInstance, instanceId, clock.monotonicMs());
        if (next?.isGone && !localInstance?.isGone) {
            this.updateInstance(next, "instance-gone");
        }
    }

    /** Applies what was learned about departures. */
    public onDepartures(): void {
        const { departures, receiver } = this.options;
        if (departures.areKnown) {
            const held = this.held;
            this.held = [];
            held.forEach((announcement) => this.apply(announcement));
        }
        const { localInstance } = receiver;
        const departure = localInstance
            && departures.find({ instanceId: localInstance.id, bornMs: localInstance.bornMs });
        if (departure && localInstance.drainingSinceMs === undefined) {
            const { bornMs, id } = localInstance;
            const next = localInstances.deregister(localInstance, id, bornMs, departure.leftAtMs);
            this.updateInstance(next, "instance-leaving");
        }
    }

    /** Publishes the backend server as draining because this node stops: other nodes send it no more requests. */
    public stop(): void {
        this.stopping = true;
        this.publishEndpoints();
    }

    /** Publishes the state of the backend server after its responses have changed it. */
    public publish(): void {
        this.publishEndpoints();
    }

    private apply(announcement: Announcement): void {
        const { clock, departures, receiver } = this.options;
        const departure = departures.find({ instanceId: announcement.id, bornMs: announcement.bornMs });
        const nowMs = clock.monotonicMs();
        this.updateInstance(
            localInstances.announce(receiver.localInstance, announcement, nowMs, departure?.leftAtMs),
            "instance-announced",
        );
    }

    private updateInstance(next: LocalInstance | undefined, event: string): void {
        const { log, receiver } = this.options;
        const previous = receiver.localInstance;
        receiver.updateInstance(next);
        this.publishEndpoints();
        const changed = previous?.id !== next?.id || previous?.drainingSinceMs !== next?.drainingSinceMs
            || previous?.isGone !== next?.isGone;
        if (next && changed) {
            const { bornMs, id, sequence, service, slots, version } = next;
            const leaving = next.drainingSinceMs !== undefined;
            log.info(event, { instance: id, service, version, slots, bornMs, sequence, leaving });
        }
    }

    private publishEndpoints(): void {
        const { membership } = this.options;
        const endpoints = this.currentEndpoints();
        if (endpointsKey(membershipOperations.ownRecord(membership.current).endpoints) !== endpointsKey(endpoints)) {
            membership.changeOwn({ endpoints });
        }
    }

    private currentEndpoints(): readonly BackendEndpoint[] {
        const { clock, receiver } = this.options;
        const { localInstance } = receiver;
        if (!localInstance) {
            return [];
        }
        const isLeaving = localInstance.drainingSinceMs !== undefined || localInstance.isGone === true;
        return [{
            service: localInstance.service,
            backendVersion: localInstance.version,
            slots: localInstance.slots,
            state: this.stopping || isLeaving ? EndpointState.Draining : EndpointState.Ready,
            ...(isLeaving && { isLeaving }),
            instanceId: localInstance.id,
            bornMs: localInstance.bornMs,
            coldRemainingMs: Math.max(0, Math.round(localInstance.warmAtMs - clock.monotonicMs())),
        }];
    }
}
