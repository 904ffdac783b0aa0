import { StateMachine } from "../consensus/StateMachine";
import { ApplyAnswer } from "./ApplyAnswer";
import { applyCommand } from "./applyCommand";
import { CatalogueCommand } from "./CatalogueCommand";
import { CatalogueState } from "./CatalogueState";
import { emptyCatalogue } from "./emptyCatalogue";
import { snapshotFormat } from "./snapshotFormat";

/** The catalogue as the state machine of the replicated log. */
export class CatalogueStateMachine extends StateMachine {
    private present: CatalogueState = emptyCatalogue;

    public constructor(private readonly onChange: (state: CatalogueState, command?: CatalogueCommand) => void) {
        super();
    }

    public get state(): CatalogueState {
        return this.present;
    }

    public override apply(command: unknown): ApplyAnswer {
        const { answer, state } = applyCommand(this.present, command as CatalogueCommand);
        const changed = state !== this.present;
        this.present = state;
        if (changed) {
            this.onChange(state, command as CatalogueCommand);
        }
        return answer;
    }

    public override takeSnapshot(): unknown {
        return snapshotFormat.write(this.present);
    }

    public override restoreSnapshot(data: unknown): void {
        this.present = snapshotFormat.read(data);
        this.onChange(this.present);
    }
}
