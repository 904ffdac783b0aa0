import { BackendDirectory } from "../calls/BackendDirectory";
import { CallReceiver } from "../calls/CallReceiver";
import { EventLog } from "../core/EventLog";

/** Dependencies of `NodeEvacuations`. */
type EvacuationOptions = {
    readonly ownZone: string;
    readonly log: EventLog;
    readonly directory: BackendDirectory;
    readonly receiver: CallReceiver;
};

/** Puts the evacuations of zones in force at a node, both for the requests that it sends and for those that it gets. */
export class NodeEvacuations {
    private zones: ReadonlySet<string> = new Set();

    public constructor(private readonly options: EvacuationOptions) {}

    /** The number of evacuated zones. */
    public get count(): number {
        return this.zones.size;
    }

    /**
     * Replaces the evacuated zones.
     * @param revision of the deployment, for the log
     */
    public apply(zones: ReadonlySet<string>, revision: number): void {
        const { directory, log, ownZone, receiver } = this.options;
        const previous = this.zones;
        const started = [...zones].filter((zone) => !previous.has(zone));
        const stopped = [...previous].filter((zone) => !zones.has(zone));
        if (started.length + stopped.length === 0) {
            return;
        }
        this.zones = zones;
        directory.updateEvacuations(zones);
        const refusedWaiting = receiver.updateEvacuation(zones.has(ownZone));
        for (const zone of started) {
            const refused = zone === ownZone ? refusedWaiting : undefined;
            log.info("evacuation-in-force", { zone, revision, refusedWaiting: refused });
        }
        stopped.forEach((zone) => log.info("evacuation-withdrawn", { zone, revision }));
    }
}
