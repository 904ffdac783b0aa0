import { ServiceMove } from "../deployment/ServiceMove";
import { ServiceMoveState } from "../deployment/ServiceMoveState";
import { BackendChoice } from "./BackendChoice";

/**
 * The backend servers of a service that a request may go to, by where the service's move stands.
 * @param fraction of the request, in [0, 1); a move's share of requests goes to its target version
 */
export const chooseVersions = (
    choices: readonly BackendChoice[],
    move: ServiceMove | undefined,
    fraction: number,
): readonly BackendChoice[] => {
    if (!move) {
        return choices;
    }
    const target = choices.filter(({ version }) => version === move.targetVersion);
    const others = choices.filter(({ version }) => version !== move.targetVersion);
    switch (move.state) {
        case ServiceMoveState.Finished:
            return target.length > 0 ? target : others;
        case ServiceMoveState.TakenBack:
            return others;
        case ServiceMoveState.Running:
            return fraction < move.share && target.length > 0 ? target : others;
    }
};
