import { CallReceiver } from "../calls/CallReceiver";
import { DeregistrationNotice } from "../calls/DeregistrationNotice";
import { LocalInstance } from "../calls/LocalInstance";
import { localInstances } from "../calls/localInstances";
import { Clock } from "../core/Clock";
import { EventLog } from "../core/EventLog";
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
};

/** Instances follow one another on a host, so older ones are gone. */
const MAXIMUM_PENDING_DEREGISTRATIONS = 100;

/** Endpoints are published when their key changes. It omits the slow start, since each announcement changes that. */
const endpointsKey = (endpoints: readonly BackendEndpoint[]): string =>
    JSON.stringify(endpoints.map((endpoint) => ({ ...endpoint, coldRemainingMs: 0 })));

/** Handles the announcements of the backend server of this host and publishes its state to the other nodes. */
export class LocalBackendTask {
    /** Deregistrations of a start of an instance that was not known when they arrived, by instance id. */
    private readonly pendingDeregistrations = new Map<string, DeregistrationNotice>();
    private stopping = false;

    public constructor(private readonly options: LocalBackendOptions) {}

    public announce(announcement: Parameters<typeof localInstances.announce>[1]): void {
        const { clock, receiver } = this.options;
        const deregistration = this.pendingDeregistrations.get(announcement.id);
        this.updateInstance(
            localInstances.announce(receiver.localInstance, announcement, clock.monotonicMs(), deregistration),
            "instance-announced",
        );
        // The start that was deregistered is known now, or over.
        if (deregistration && announcement.bornMs >= deregistration.bornMs) {
            this.pendingDeregistrations.delete(announcement.id);
        }
    }

    /**
     * Deregisters an instance.
     * @param bornMs Unix time in ms at which the deregistered process started; 0 if the message does not state it
     */
    public deregister(id: string, bornMs: number): void {
        const { clock, log, receiver } = this.options;
        const { localInstance } = receiver;
        if (!localInstances.isKnown(localInstance, id, bornMs)) {
            // A node that just started knows no instance yet, but must honor a deregistration that it acknowledges.
            this.pendingDeregistrations.set(id, { id, bornMs, sinceMs: clock.monotonicMs() });
            if (this.pendingDeregistrations.size > MAXIMUM_PENDING_DEREGISTRATIONS) {
                this.pendingDeregistrations.delete([...this.pendingDeregistrations.keys()][0]);
            }
            log.info("departure-noted", { instance: id, bornMs });
            return;
        }
        this.updateInstance(
            localInstances.deregister(localInstance, id, bornMs, clock.monotonicMs()),
            "instance-leaving",
        );
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

    private updateInstance(next: LocalInstance | undefined, event: string): void {
        const { log, receiver } = this.options;
        const previous = receiver.localInstance;
        receiver.updateInstance(next);
        this.publishEndpoints();
        const changed = previous?.id !== next?.id || previous?.drainingSinceMs !== next?.drainingSinceMs;
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
        const draining = this.stopping || localInstance.drainingSinceMs !== undefined;
        return [{
            service: localInstance.service,
            backendVersion: localInstance.version,
            slots: localInstance.slots,
            state: draining ? EndpointState.Draining : EndpointState.Ready,
            instanceId: localInstance.id,
            bornMs: localInstance.bornMs,
            coldRemainingMs: Math.max(0, Math.round(localInstance.warmAtMs - clock.monotonicMs())),
        }];
    }
}
