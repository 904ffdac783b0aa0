import { randomUUID } from "node:crypto";
import { CatalogueAnswer } from "../catalogue/CatalogueAnswer";
import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { CatalogueState } from "../catalogue/CatalogueState";
import { EntryRecord } from "../catalogue/EntryRecord";
import { parseEntry } from "../catalogue/parseEntry";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { MembershipChange } from "../consensus/MembershipChange";
import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Role } from "../consensus/Role";
import { Clock } from "../core/Clock";
import { die } from "../core/die";
import { ErrorKind } from "../core/ErrorKind";
import { AdminRequest } from "./AdminRequest";
import { AdminResponse } from "./AdminResponse";
import { authorize } from "./authorize";
import { EntryStatus } from "./EntryStatus";
import { errorResponse } from "./errorResponse";
import { Operator } from "./Operator";

/** Dependencies of an `AdminService`. */
type AdminServiceOptions = {
    readonly operators: readonly Operator[];
    readonly clock: Clock;
    readonly catalogue: () => CatalogueState;
    /** The consensus status of this replica. */
    readonly status: () => ConsensusStatus;
    readonly statusOf: (record: EntryRecord) => EntryStatus;
    /** Proposes a command to the replicated log and resolves when its outcome is known. */
    readonly propose: (command: CatalogueCommand) => Promise<ProposalOutcome>;
    /** Resolves with `applied` once a quorum confirmed that this replica leads, so that reads are linearizable. */
    readonly readBarrier: () => Promise<ProposalOutcome>;
    readonly changeMembership: (change: MembershipChange) => Promise<ProposalOutcome>;
};

const textField = (body: unknown, name: string): string | undefined => {
    const value = (body as Readonly<Record<string, unknown>> | undefined)?.[name];
    return typeof value === "string" ? value : undefined;
};

const versionField = (body: unknown, name: string): number => {
    const value = (body as Readonly<Record<string, unknown>> | undefined)?.[name];
    const valid = typeof value === "number" && Number.isInteger(value) && value >= 0;
    return valid ? value : die(ErrorKind.RequestInvalid, `${name} must be a whole number of at least 0`);
};

/**
 * The administration API: authorizes, validates and executes requests. Only the leader executes them, except that
 * every replica returns its own consensus status.
 */
export class AdminService {
    public constructor(private readonly options: AdminServiceOptions) {}

    public async handle(request: AdminRequest): Promise<AdminResponse> {
        try {
            return await this.dispatch(request);
        }
        catch (error) {
            return errorResponse(error);
        }
    }

    private async dispatch(request: AdminRequest): Promise<AdminResponse> {
        const operator = authorize.identify(this.options.operators, request.authorization);
        const [version, collection, name, action] = request.path;
        if (version !== "v1") {
            return die(ErrorKind.RequestInvalid, "the path must start with /v1");
        }
        const endpoint = [request.method, collection, name ? "NAME" : "", action ?? ""].filter(Boolean).join(" ");
        switch (endpoint) {
            case "GET replicas":
                return { status: 200, body: this.options.status() };
            case "POST replicas":
                return this.changeReplicas(operator, request);
            case "GET status":
                return this.readStatus();
            case "GET entries NAME":
                return this.readEntry(name, (record) => ({ version: record.version, entry: record.entry }));
            case "GET entries NAME status":
                return this.readEntry(name, (record) => this.options.statusOf(record));
            case "GET entries NAME history":
                return this.readEntry(name, ({ outcomes }) => outcomes);
            case "POST entries NAME":
                return this.apply(operator, name, request);
            case "POST entries NAME take-back":
                return this.rollBack(operator, name, request);
            default:
                return die(ErrorKind.RequestInvalid, `there is no ${endpoint}; see docs/OPERATIONS.md for the calls`);
        }
    }

    private async readStatus(): Promise<AdminResponse> {
        await this.confirmLeadership();
        const records = [...this.options.catalogue().records.values()];
        return { status: 200, body: { replicas: this.options.status(), entries: records.map(this.options.statusOf) } };
    }

    private async readEntry(name: string, toBody: (record: EntryRecord) => unknown): Promise<AdminResponse> {
        await this.confirmLeadership();
        return { status: 200, body: toBody(this.requireRecord(name)) };
    }

    private async apply(operator: Operator, name: string, request: AdminRequest): Promise<AdminResponse> {
        this.requireLeader();
        const { body, idempotencyKey = randomUUID() } = request;
        const atMs = this.options.clock.wallMs();
        const entry = parseEntry((body as { readonly entry?: unknown; } | undefined)?.entry, atMs);
        if (entry.service !== name) {
            die(ErrorKind.CatalogueInvalid, `service: must be ${name}, as in the path`);
        }
        authorize.checkScope(operator, [entry, this.options.catalogue().records.get(name)?.entry]);
        const expectedVersion = versionField(body, "expectedVersion");
        const command = {
            kind: "apply",
            entry,
            expectedVersion,
            idempotencyKey,
            operator: operator.name,
            atMs,
        } as const;
        return this.proposeCommand(name, command);
    }

    private async rollBack(operator: Operator, name: string, request: AdminRequest): Promise<AdminResponse> {
        this.requireLeader();
        authorize.checkScope(operator, [this.requireRecord(name).entry]);
        const { body, idempotencyKey = randomUUID() } = request;
        return this.proposeCommand(name, {
            kind: "take-back",
            service: name,
            version: versionField(body, "version"),
            reason: textField(body, "reason") ?? "taken back by an operator",
            idempotencyKey,
            operator: operator.name,
            atMs: this.options.clock.wallMs(),
        });
    }

    private async changeReplicas(operator: Operator, { body }: AdminRequest): Promise<AdminResponse> {
        if (operator.owner !== "*") {
            die(ErrorKind.OperatorRejected, "change the control replicas");
        }
        const id = textField(body, "id") ?? die(ErrorKind.RequestInvalid, "id is missing");
        const address = textField(body, "address");
        const kind = textField(body, "kind");
        const outcome = await this.options.changeMembership(this.toMembershipChange(kind, id, address));
        this.requireApplied(outcome, ErrorKind.MembershipRejected);
        return { status: 200, body: this.options.status() };
    }

    private toMembershipChange(kind: string | undefined, id: string, address: string | undefined): MembershipChange {
        if (kind === "promote" || kind === "remove") {
            return { kind, id };
        }
        if (kind === "add-learner" && address) {
            return { kind, id, address };
        }
        return die(ErrorKind.RequestInvalid, "kind must be promote, remove, or add-learner with an address");
    }

    private async proposeCommand(name: string, command: CatalogueCommand): Promise<AdminResponse> {
        const outcome = await this.options.propose(command);
        const answer = this.requireApplied(outcome, ErrorKind.QuorumUnavailable) as CatalogueAnswer;
        switch (answer.kind) {
            case "accepted":
                return { status: 200, body: answer };
            case "conflict": {
                const expected = "expectedVersion" in command ? command.expectedVersion : command.version;
                return die(ErrorKind.VersionConflict, name, answer.version, String(expected));
            }
            case "unknown-entry":
                return die(ErrorKind.EntryUnknown, name);
            default:
                return die(ErrorKind.MoveUnknown, name);
        }
    }

    /** Returns the answer to a command that was applied. Any other outcome throws an error. */
    private requireApplied(outcome: ProposalOutcome, rejectionKind: ErrorKind): unknown {
        if (outcome.kind === "applied") {
            return outcome.answer;
        }
        if (outcome.kind === "unknown") {
            return die(ErrorKind.QuorumUnavailable, outcome.reason);
        }
        if (this.options.status().role !== Role.Leader) {
            return die(ErrorKind.NotLeader, outcome.leaderId ?? "the next leader");
        }
        return die(rejectionKind, outcome.reason);
    }

    /** Confirms with a quorum that this replica still leads, so that a read returns the latest committed state. */
    private async confirmLeadership(): Promise<void> {
        this.requireApplied(await this.options.readBarrier(), ErrorKind.NotLeader);
    }

    private requireLeader(): void {
        const { leaderId, role } = this.options.status();
        if (role !== Role.Leader) {
            die(ErrorKind.NotLeader, leaderId ?? "the next leader");
        }
    }

    private requireRecord(name: string): EntryRecord {
        return this.options.catalogue().records.get(name) ?? die(ErrorKind.EntryUnknown, name);
    }
}
