import { connect } from "node:net";
import { MemoryBudget } from "../core/MemoryBudget";
import { ReadTurns } from "../core/ReadTurns";
import { parseAddress } from "../transport/parseAddress";
import { BackendConnection } from "./BackendConnection";
import { findHeader } from "./findHeader";
import { HeaderNames } from "./HeaderNames";
import { HealthCheckResponse } from "./HealthCheckResponse";

const HEALTHY_STATUS = 200;

const noBody = new Uint8Array(0);

/** Far more than a health check response has, which is mostly headers. */
const MAXIMUM_RESPONSE_BYTES = 65_536;

/** Sends health checks to the backend server of this host. */
export class HealthCheckClient {
    private readonly memory = new MemoryBudget(MAXIMUM_RESPONSE_BYTES);
    private readonly readTurns = new ReadTurns();

    public constructor(private readonly names: HeaderNames) {}

    /**
     * Sends one health check. It gets a connection of its own, because health check responses state no request id: on a
     * connection that is used again, a late copy of an earlier one would be taken for the response.
     */
    public async check(address: string, path: string, timeoutMs: number): Promise<HealthCheckResponse> {
        const target = parseAddress(address);
        if (!target) {
            return { kind: "unreachable" };
        }
        const connection = new BackendConnection(
            connect({ host: target.host, port: target.port, allowHalfOpen: true }),
            {
                requestIdHeader: this.names.requestId,
                memory: this.memory,
                readTurns: this.readTurns,
                onClosed: () => undefined,
                onInvalid: () => undefined,
            },
        );
        let timedOut = false;
        const timer = setTimeout(() => {
            timedOut = true;
            connection.close();
        }, timeoutMs);
        const result = await connection.send({
            head: Buffer.from(`GET ${path} HTTP/1.1\r\nhost: ${address}\r\nconnection: close\r\n\r\n`, "latin1"),
            body: noBody,
            method: "GET",
            requestId: "",
        });
        clearTimeout(timer);
        connection.close();
        if (timedOut) {
            return { kind: "timed-out" };
        }
        if (result.kind !== "answered") {
            return { kind: result.kind };
        }
        const { headers, status } = result.answer;
        // A healthy backend server states how long it stays cold only while it is.
        const unstated = status === HEALTHY_STATUS ? "0" : "";
        const coldRemainingMs = Number((findHeader(headers, this.names.coldMs) ?? unstated).trim() || Number.NaN);
        return {
            kind: "answered",
            instanceId: findHeader(headers, this.names.instanceId)?.trim(),
            coldRemainingMs: Number.isFinite(coldRemainingMs) && coldRemainingMs >= 0 ? coldRemainingMs : undefined,
        };
    }
}
