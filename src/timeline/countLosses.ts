import { TimelineEvent } from "./TimelineEvent";

/** Requests of a route that did not get a response on time in a second, for one reason. */
type Loss = {
    /** ISO 8601 time in UTC, to the second. */
    readonly second: string;
    readonly route: string;
    readonly outcome: LossOutcome;
    readonly reason: string;
    readonly requests: number;
};

/** "unlisted" counts log lines that were left out because there were too many, of any route. */
type LossOutcome = "refused" | "failed" | "late" | "unlisted";

const outcomes: Readonly<Record<string, LossOutcome>> = {
    "request-refused": "refused",
    "request-failed": "failed",
    "request-late": "late",
};

const ISO_SECOND_LENGTH = 19;

const UNKNOWN_ROUTE = "-";

const toLoss = ({ at, event, fields }: TimelineEvent): Loss | undefined => {
    const second = at.slice(0, ISO_SECOND_LENGTH);
    const name = fields.get("name") ?? "";
    if (event === "lines-left-out" && name in outcomes) {
        const requests = Number(fields.get("lines")) || 0;
        return { second, route: UNKNOWN_ROUTE, outcome: "unlisted", reason: name, requests };
    }
    const outcome = outcomes[event];
    const reason = fields.get("reason") ?? fields.get("status") ?? "";
    return outcome && { second, route: fields.get("route") ?? UNKNOWN_ROUTE, outcome, reason, requests: 1 };
};

/** Counts the requests that were refused, failed or late, by second, route and reason, in this order. */
export const countLosses = (events: readonly TimelineEvent[]): readonly Loss[] => {
    const losses = new Map<string, Loss>();
    for (const event of events) {
        const loss = toLoss(event);
        if (loss) {
            const key = [loss.second, loss.route, loss.outcome, loss.reason].join(" ");
            losses.set(key, { ...loss, requests: (losses.get(key)?.requests ?? 0) + loss.requests });
        }
    }
    return [...losses].sort(([left], [right]) => left < right ? -1 : 1).map(([, loss]) => loss);
};
