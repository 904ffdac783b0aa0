import { BackendViews } from "../BackendViews";
import { OtherZoneAdmission } from "../OtherZoneAdmission";
import { RoutableBackend } from "../RoutableBackend";
import { RouteStatistics } from "../RouteStatistics";
import { SelectedCall } from "../SelectedCall";
import { slotQueue } from "../slotQueue";

/** A host of a played load: its node and its backend server. */
export type ZoneHost = {
    readonly zone: number;
    /** Work takes its time divided by this. */
    readonly speed: number;
    readonly backend: RoutableBackend;
    readonly views: BackendViews;
    readonly statistics: RouteStatistics;
    readonly select: (
        route: Pick<SelectedCall, "priority" | "routeName">,
        targetAtMs: number,
        tried: ReadonlySet<string>,
    ) => RoutableBackend | undefined;
    /** True if requests to the backend server state that they come from another zone. */
    readonly marksOtherZone: (backend: RoutableBackend) => boolean;
    readonly admission: OtherZoneAdmission;
    readonly outstandingOf: Map<string, number>;
    readonly waiting: Map<number, (isStarted: boolean) => void>;
    queue: ReturnType<typeof slotQueue.create>;
    linkFreeAtMs: number;
};
