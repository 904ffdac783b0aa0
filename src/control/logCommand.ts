import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { CatalogueState } from "../catalogue/CatalogueState";
import { EventLog } from "../core/EventLog";

/** Logs one event for a command that changed the catalogue. */
export const logCommand = (log: EventLog, state: CatalogueState, command: CatalogueCommand): void => {
    const service = command.kind === "apply" ? command.entry.service : command.service;
    const record = state.records.get(service);
    const outcome = record?.outcomes.at(-1);
    const fields = { service, version: record?.version, revision: record?.revision };
    switch (command.kind) {
        case "apply":
            log.info("entry-accepted", { ...fields, operator: command.operator });
            return;
        case "take-back":
            log.info("move-taken-back", { ...fields, operator: command.operator, reason: command.reason });
            return;
        case "advance-move":
            log.info("move-advanced", { ...fields, step: command.step + 1 });
            return;
        case "mark-move":
            log.info(command.inForceAtMs === undefined ? "move-late" : "move-in-force", {
                ...fields,
                late: command.late,
            });
            return;
        case "finish-move":
            log.info("move-finished", { ...fields, onTime: outcome?.onTime });
            return;
    }
};
