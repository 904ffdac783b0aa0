import { CallReceiver } from "../calls/CallReceiver";
import { Departure } from "../calls/Departure";
import { LocalInstance } from "../calls/LocalInstance";
import { localInstances } from "../calls/localInstances";
import { Clock } from "../core/Clock";
import { EventLog } from "../core/EventLog";
import { BackendEndpoint } from "../membership/BackendEndpoint";
import { EndpointState } from "../membership/EndpointState";
import { membershipChanges } from "../membership/membershipChanges";
import { MembershipTask } from "../membership/MembershipTask";

/** What is needed to follow the backend server of this host. */
type LocalBackendOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly receiver: CallReceiver;
    readonly membership: MembershipTask;
};

/** What makes a difference to others: the rest of slow start changes with every announcement. */
const keyOf = (endpoints: readonly BackendEndpoint[]): string =>
    JSON.stringify(endpoints.map((endpoint) => ({ ...endpoint, coldRemainingMs: 0 })));

/** Follows what the backend server of this host says of itself, and tells the other nodes. */
export class LocalBackendTask {
    /** Those that left before they were announced to this process, by instance. */
    private readonly departures = new Map<string, Departure>();
    private stopping = false;

    public constructor(private readonly options: LocalBackendOptions) {}

    public announce(heard: Parameters<typeof localInstances.announce>[1]): void {
        const { clock, receiver } = this.options;
        const departure = this.departures.get(heard.id);
        this.take(
            localInstances.announce(receiver.present, heard, clock.monotonicMs(), departure),
            "instance-announced",
        );
    }

    /** @param bornMs the start that leaves; 0 if it is not named */
    public leave(id: string, bornMs: number): void {
        const { clock, log, receiver } = this.options;
        const { present } = receiver;
        if (!localInstances.isKnown(present, id, bornMs)) {
            // A process of this node that was just started has heard nothing yet, but what it answers must hold.
            this.departures.set(id, { id, bornMs, sinceMs: clock.monotonicMs() });
            log.info("departure-noted", { instance: id, bornMs });
            return;
        }
        this.take(localInstances.leave(present, id, bornMs, clock.monotonicMs()), "instance-leaving");
    }

    /** This node stops: others are to send no more requests for its backend server. */
    public stop(): void {
        this.stopping = true;
        this.tellOthers();
    }

    private take(next: LocalInstance | undefined, event: string): void {
        const { log, receiver } = this.options;
        const previous = receiver.present;
        receiver.follow(next);
        this.tellOthers();
        const changed = previous?.id !== next?.id || previous?.leavingSinceMs !== next?.leavingSinceMs;
        if (next && changed) {
            const { bornMs, id, sequence, service, slots, version } = next;
            const leaving = next.leavingSinceMs !== undefined;
            log.info(event, { instance: id, service, version, slots, bornMs, sequence, leaving });
        }
    }

    private tellOthers(): void {
        const { membership } = this.options;
        const endpoints = this.endpoints();
        if (keyOf(membershipChanges.own(membership.present).endpoints) !== keyOf(endpoints)) {
            membership.changeOwn({ endpoints });
        }
    }

    private endpoints(): readonly BackendEndpoint[] {
        const { clock, receiver } = this.options;
        const { present } = receiver;
        if (!present) {
            return [];
        }
        const leaving = this.stopping || present.leavingSinceMs !== undefined;
        return [{
            service: present.service,
            backendVersion: present.version,
            slots: present.slots,
            state: leaving ? EndpointState.Draining : EndpointState.Ready,
            instanceId: present.id,
            coldRemainingMs: Math.max(0, Math.round(present.warmAtMs - clock.monotonicMs())),
        }];
    }
}
