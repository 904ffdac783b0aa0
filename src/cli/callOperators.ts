import { randomUUID } from "node:crypto";
import { fetch } from "undici";
import { pause } from "../core/pause";

/** The response of the operators' API. Status 0 means that no replica answered. */
type OperatorResponse<Body> = {
    readonly status: number;
    readonly body: Partial<Body> & { readonly Error?: string; };
};

const REQUEST_TIMEOUT_MS = 2_000;
const MAXIMUM_ROUNDS = 10;
const ROUND_PAUSE_MS = 250;
const FIRST_SERVER_ERROR = 500;

const send = async <Body>(
    url: string,
    method: string,
    headers: Readonly<Record<string, string>>,
): Promise<OperatorResponse<Body> | undefined> => {
    try {
        // Follows the redirect of a replica that is not the leader.
        const response = await fetch(url, { method, headers, signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
        return { status: response.status, body: await response.json() as OperatorResponse<Body>["body"] };
    }
    catch {
        return undefined;
    }
};

/**
 * Sends a call to the replicas in turn until one acknowledges or rejects it. All attempts carry the same idempotency key,
 * so that the call takes effect once.
 */
export const callOperators = async <Body>(
    addresses: readonly string[],
    method: string,
    path: string,
): Promise<OperatorResponse<Body>> => {
    const headers = { "Idempotency-Key": randomUUID() };
    let last: OperatorResponse<Body> | undefined;
    for (let round = 0; round < MAXIMUM_ROUNDS; round += 1) {
        for (const address of addresses) {
            const response = await send<Body>(`http://${address}${path}`, method, headers);
            if (response && response.status < FIRST_SERVER_ERROR) {
                return response;
            }
            last = response ?? last;
        }
        await pause(ROUND_PAUSE_MS);
    }
    const nobody: OperatorResponse<{ readonly Error: string; }> = {
        status: 0,
        body: { Error: "no control replica answered. Check --operators" },
    };
    return last ?? nobody as OperatorResponse<Body>;
};
