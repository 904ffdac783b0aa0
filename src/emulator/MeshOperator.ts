import { EntryStatus } from "../control/EntryStatus";
import { Mesh } from "./Mesh";

type Entry = Readonly<Record<string, unknown>>;

/** Drives a mesh as an operator does: by the administration API alone. */
export class MeshOperator {
    private keys = 0;

    public constructor(private readonly mesh: Mesh) {}

    /** Applies an entry at the present version and returns the version that was accepted. */
    public async apply(entry: Entry): Promise<number> {
        const service = String(entry.service);
        const { admin } = this.mesh;
        const expectedVersion = await this.presentVersion(service);
        this.keys += 1;
        const answer = await admin.call({
            method: "POST",
            path: `/v1/entries/${service}`,
            body: { entry, expectedVersion },
            idempotencyKey: `mesh-operator-${process.pid}-${this.keys}`,
        });
        if (answer.status !== 200) {
            throw new Error(`${service} was not accepted: ${JSON.stringify(answer.body)}`);
        }
        return (answer.body as { readonly version: number; }).version;
    }

    /** The version accepted last, 0 if there is none. Waits while control can't tell. */
    private async presentVersion(service: string): Promise<number> {
        const { body } = await this.mesh.until(`control tells the version of ${service}`, async () => {
            const answer = await this.mesh.admin.call({ method: "GET", path: `/v1/entries/${service}` });
            return answer.status === 200 || answer.status === 404 ? answer : undefined;
        });
        return (body as { readonly version?: number; }).version ?? 0;
    }

    public async status(service: string): Promise<EntryStatus | undefined> {
        const answer = await this.mesh.admin.call({ method: "GET", path: `/v1/entries/${service}/status` });
        return answer.status === 200 ? (answer.body as EntryStatus) : undefined;
    }

    /** Waits until the move to a version has ended and all proxies hold the outcome. */
    public ended(service: string, version: number): Promise<EntryStatus> {
        return this.mesh.until(`the move of ${service} to version ${version} has ended`, async () => {
            const status = await this.status(service);
            const ended = status?.lastOutcome?.version === version && !status.move;
            return ended && status.state === "in-force" ? status : undefined;
        });
    }
}
