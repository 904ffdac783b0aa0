import { StateMachine } from "../consensus/StateMachine";
import { applyCommand } from "./applyCommand";
import { CatalogueAnswer } from "./CatalogueAnswer";
import { CatalogueCommand } from "./CatalogueCommand";
import { CatalogueState } from "./CatalogueState";
import { emptyCatalogue } from "./emptyCatalogue";
import { snapshotFormat } from "./snapshotFormat";

/** The state machine of the replicated log that holds the catalogue. */
export class CatalogueStateMachine extends StateMachine {
    private current: CatalogueState = emptyCatalogue;

    /** `onChange` is called with the new state after each change; without a command if a snapshot was restored. */
    public constructor(private readonly onChange: (state: CatalogueState, command?: CatalogueCommand) => void) {
        super();
    }

    public get state(): CatalogueState {
        return this.current;
    }

    public override apply(command: unknown): CatalogueAnswer {
        const { answer, state } = applyCommand(this.current, command as CatalogueCommand);
        const changed = state !== this.current;
        this.current = state;
        if (changed) {
            this.onChange(state, command as CatalogueCommand);
        }
        return answer;
    }

    public override takeSnapshot(): unknown {
        return snapshotFormat.write(this.current);
    }

    public override restoreSnapshot(data: unknown): void {
        this.current = snapshotFormat.read(data);
        this.onChange(this.current);
    }
}
