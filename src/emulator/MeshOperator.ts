import { EntryStatus } from "../control/EntryStatus";
import { Mesh } from "./Mesh";

type Entry = Readonly<Record<string, unknown>>;

/** Acts as an operator of a mesh. Uses only the administration API. */
export class MeshOperator {
    private appliedCount = 0;

    public constructor(private readonly mesh: Mesh) {}

    /** Applies an entry on top of the service's accepted version and returns the new version. */
    public async apply(entry: Entry): Promise<number> {
        const service = String(entry.service);
        const { admin } = this.mesh;
        const expectedVersion = await this.acceptedVersion(service);
        this.appliedCount += 1;
        const answer = await admin.call({
            method: "POST",
            path: `/v1/entries/${service}`,
            body: { entry, expectedVersion },
            idempotencyKey: `mesh-operator-${process.pid}-${this.appliedCount}`,
        });
        if (answer.status !== 200) {
            throw new Error(`the entry of ${service} was not accepted: ${JSON.stringify(answer.body)}`);
        }
        return (answer.body as { readonly version: number; }).version;
    }

    /** Returns the version accepted last, or 0 if there is none. Retries while no replica can answer. */
    private async acceptedVersion(service: string): Promise<number> {
        const { body } = await this.mesh.waitUntil(`a control replica returns the version of ${service}`, async () => {
            const answer = await this.mesh.admin.call({ method: "GET", path: `/v1/entries/${service}` });
            return answer.status === 200 || answer.status === 404 ? answer : undefined;
        });
        return (body as { readonly version?: number; }).version ?? 0;
    }

    /** Returns the status of a service, or undefined if no replica can answer or the service is unknown. */
    public async status(service: string): Promise<EntryStatus | undefined> {
        const answer = await this.mesh.admin.call({ method: "GET", path: `/v1/entries/${service}/status` });
        return answer.status === 200 ? (answer.body as EntryStatus) : undefined;
    }

    /** Waits until the rollout of a version has ended and its outcome is in force on all proxies. */
    public waitUntilEnded(service: string, version: number): Promise<EntryStatus> {
        return this.mesh.waitUntil(`the rollout of version ${version} of ${service} has ended`, async () => {
            const status = await this.status(service);
            const ended = status?.lastOutcome?.version === version && !status.move;
            return ended && status.state === "in-force" ? status : undefined;
        });
    }
}
