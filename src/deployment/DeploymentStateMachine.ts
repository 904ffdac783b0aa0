import { StateMachine } from "../consensus/StateMachine";
import { applyDeploymentCommand } from "./applyDeploymentCommand";
import { DeploymentAnswer } from "./DeploymentAnswer";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { emptyDeployment } from "./emptyDeployment";

type Snapshot = {
    readonly revision: number;
    readonly configuration: DeploymentState["configuration"];
    readonly acceptedDigests: readonly string[];
    readonly moves: readonly ReturnType<DeploymentState["moves"]["get"]>[];
};

/** The deployment as the state machine of the replicated log. */
export class DeploymentStateMachine extends StateMachine {
    private present: DeploymentState = emptyDeployment;

    public constructor(private readonly onChange: (state: DeploymentState, command?: DeploymentCommand) => void) {
        super();
    }

    public get state(): DeploymentState {
        return this.present;
    }

    public override apply(command: unknown): DeploymentAnswer {
        const { answer, state } = applyDeploymentCommand(this.present, command as DeploymentCommand);
        const changed = state !== this.present;
        this.present = state;
        if (changed) {
            this.onChange(state, command as DeploymentCommand);
        }
        return answer;
    }

    public override takeSnapshot(): unknown {
        const { acceptedDigests, configuration, moves, revision } = this.present;
        const snapshot: Snapshot = {
            revision,
            configuration,
            acceptedDigests: [...acceptedDigests],
            moves: [...moves.values()],
        };
        return snapshot;
    }

    public override restoreSnapshot(data: unknown): void {
        if (data === undefined) {
            this.present = emptyDeployment;
            return;
        }
        const { acceptedDigests, configuration, moves, revision } = data as Snapshot;
        const stored = moves.flatMap((move) => (move ? [[move.service, move] as const] : []));
        this.present = {
            revision,
            configuration,
            acceptedDigests: new Set(acceptedDigests),
            moves: new Map(stored),
        };
        this.onChange(this.present);
    }
}
