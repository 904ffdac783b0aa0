import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { latencyEstimates } from "./latencyEstimates";

/** Weight of a new sample in the moving average of a route's bytes: about the last 20 requests count. */
const BYTES_WEIGHT = 0.05;

/** Weight of a new report in the moving average of a route's service time. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Approximate size of headers on the wire. */
const headBytes = (headers: readonly string[]): number => headers.reduce((sum, { length }) => sum + length + 2, 0);

/** What this node has learned about the requests of each route. */
export class RouteStatistics {
    private readonly latencies = new Map<string, Parameters<typeof latencyEstimates.record>[0]>();
    private readonly bytes = new Map<string, number>();
    private readonly serviceTimes = new Map<string, number>();

    /** Average size of a request and its response together; 0 if unknown. */
    public averageBytes(route: string): number {
        return this.bytes.get(route) ?? 0;
    }

    /** How long requests run at their backend servers, without waiting. */
    public serviceMs(route: string): number | undefined {
        return this.serviceTimes.get(route);
    }

    /** Time after which a response is overdue; undefined if too few requests have been answered. */
    public hedgeDelayMs(route: string): number | undefined {
        return latencyEstimates.hedgeDelayMs(this.latencies.get(route));
    }

    /** Records how long requests of the route run at a backend server, as that server's node reports it. */
    public recordServiceTime(route: string, serviceMs: number): void {
        const average = this.serviceTimes.get(route) ?? serviceMs;
        this.serviceTimes.set(route, average + SERVICE_TIME_WEIGHT * (serviceMs - average));
    }

    /** Records the end of an attempt. Only responses tell something about the route. */
    public recordAttempt(
        { body, headers, route }: Pick<CallRequest, "body" | "headers" | "route">,
        result: CallResult,
        elapsedMs: number,
    ): void {
        if (result.kind !== "answered") {
            return;
        }
        const { answer } = result;
        const bytes = headBytes(headers) + headBytes(answer.headers) + body.length + answer.body.length;
        const average = this.bytes.get(route) ?? bytes;
        this.bytes.set(route, average + BYTES_WEIGHT * (bytes - average));
        this.latencies.set(route, latencyEstimates.record(this.latencies.get(route), elapsedMs));
    }

    /** Removes the statistics of routes that no longer exist. */
    public keepOnly(routes: ReadonlySet<string>): void {
        for (const byRoute of [this.latencies, this.bytes, this.serviceTimes]) {
            [...byRoute.keys()].filter((name) => !routes.has(name)).forEach((name) => byRoute.delete(name));
        }
    }
}
