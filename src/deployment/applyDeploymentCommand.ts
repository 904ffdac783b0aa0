import { configurationDeltas } from "../configuration/configurationDeltas";
import { findConfigurationFault } from "../configuration/findConfigurationFault";
import { crashRecords } from "../crashes/crashRecords";
import { departureRecords } from "../departures/departureRecords";
import { acceptedOrders } from "./acceptedOrders";
import { DeploymentAnswer } from "./DeploymentAnswer";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { excludedVersions } from "./excludedVersions";
import { ServiceRollout } from "./ServiceRollout";
import { ServiceRolloutState } from "./ServiceRolloutState";

type Result = {
    readonly state: DeploymentState;
    readonly answer: DeploymentAnswer;
};

type PutConfigurationCommand = DeploymentCommand & { readonly kind: "put-configuration"; };
type StartRolloutCommand = DeploymentCommand & { readonly kind: "start-move"; };
type EvacuationCommand = DeploymentCommand & { readonly kind: "start-evacuation" | "stop-evacuation"; };
type ChangeRolloutCommand = DeploymentCommand & { readonly kind: "change-share" | "end-move"; };
type OnlyVersionCommand = DeploymentCommand & { readonly kind: "set-only-version"; };

/** Enough for about three days at 5,800 changes a day. The oldest digests are dropped first. */
const MAXIMUM_DIGESTS = 20_000;

/** In commands without an order reference, a rollout to the target version of the last one is a resend for this long. */
const LEGACY_RESEND_WINDOW_MS = 15_000;

const accepted = (state: DeploymentState): Result => ({
    state,
    answer: { kind: "accepted", revision: state.revision },
});

const putConfiguration = (state: DeploymentState, { baseVersion, delta }: PutConfigurationCommand): Result => {
    const { digest, version } = delta;
    if (state.acceptedDigests.has(digest)) {
        return accepted(state);
    }
    const currentVersion = state.configuration?.version ?? 0;
    if (baseVersion !== currentVersion) {
        return { state, answer: { kind: "conflict", currentVersion } };
    }
    if (version <= currentVersion) {
        const fault = `its version must be above ${currentVersion}, the current one`;
        return { state, answer: { kind: "invalid", fault } };
    }
    const configuration = configurationDeltas.patch(state.configuration, delta);
    const fault = configuration ? findConfigurationFault(configuration) : "its names are not unique";
    if (!configuration || fault) {
        return { state, answer: { kind: "invalid", fault: fault ?? "" } };
    }
    const digests = [...state.acceptedDigests, digest].slice(-MAXIMUM_DIGESTS);
    return accepted({
        ...state,
        revision: state.revision + 1,
        configuration,
        acceptedDigests: new Set(digests),
    });
};

/**
 * Applies an order unless it is an accepted one that has arrived again, whatever was accepted since then. An order
 * without any effect is kept too: it could have one if it arrived again after another order.
 */
const applyOrder = <Order extends StartRolloutCommand | EvacuationCommand>(
    state: DeploymentState,
    command: Order,
    apply: (state: DeploymentState, command: Order) => Result,
): Result => {
    const { order } = command;
    if (!order) {
        return apply(state, command);
    }
    const identity = acceptedOrders.identityOf(command, order.key);
    if (acceptedOrders.lastNumber(state.acceptedOrders, identity) > order.forgottenNumber) {
        return accepted(state);
    }
    const result = apply(state, command);
    if (result.answer.kind !== "accepted") {
        return result;
    }
    const orders = acceptedOrders.add(state.acceptedOrders, identity, order.atMs);
    return { ...result, state: { ...result.state, acceptedOrders: orders } };
};

/** True if the last rollout of the service already does what the command asks for. */
const isUnderWay = (current: ServiceRollout | undefined, command: StartRolloutCommand): boolean => {
    const { atMs, durationMs, order, targetVersion } = command;
    if (current?.targetVersion !== targetVersion) {
        return false;
    }
    const isRunning = current.state === ServiceRolloutState.Running;
    return order
        ? isRunning && current.durationMs === durationMs
        : isRunning || atMs - current.acceptedAtMs < LEGACY_RESEND_WINDOW_MS;
};

const startRollout = (state: DeploymentState, command: StartRolloutCommand): Result => {
    const { atMs, durationMs, isNewVersion, isOnlyVersion, rollsBackReplaced = false, service, targetVersion } =
        command;
    if (!state.configuration?.services.some(({ name }) => name === service)) {
        return { state, answer: { kind: "invalid", fault: `there is no service ${service}` } };
    }
    const currentRollout = state.moves.get(service);
    if (isUnderWay(currentRollout, command)) {
        return accepted(state);
    }
    const revision = state.revision + 1;
    const excluded = excludedVersions(currentRollout, targetVersion, rollsBackReplaced);
    const rollout = {
        id: revision,
        service,
        targetVersion,
        state: ServiceRolloutState.Running,
        share: 0,
        durationMs,
        acceptedAtMs: atMs,
        reason: "",
        ...(isOnlyVersion && { isOnlyVersion }),
        ...(isNewVersion && { isNewVersion }),
        ...(excluded.length > 0 && { excludedVersions: excluded }),
    };
    return accepted({ ...state, revision, moves: new Map(state.moves).set(service, rollout) });
};

const changeRollout = (state: DeploymentState, command: ChangeRolloutCommand): Result => {
    const currentRollout = state.moves.get(command.service);
    if (
        !currentRollout || currentRollout.id !== command.moveId || currentRollout.state !== ServiceRolloutState.Running
    ) {
        return { state, answer: { kind: "stale" } };
    }
    const revision = state.revision + 1;
    const changedRollout = command.kind === "change-share"
        ? { ...currentRollout, share: command.share }
        : {
            ...currentRollout,
            state: command.state,
            reason: command.reason,
            ...(command.isFaulty && { isFaulty: true }),
        };
    return accepted({ ...state, revision, moves: new Map(state.moves).set(command.service, changedRollout) });
};

const setOnlyVersion = (
    state: DeploymentState,
    { isOnlyVersion, moveId, service }: OnlyVersionCommand,
): Result => {
    const currentRollout = state.moves.get(service);
    if (currentRollout?.id !== moveId) {
        return { state, answer: { kind: "stale" } };
    }
    const moves = new Map(state.moves).set(service, { ...currentRollout, isOnlyVersion });
    return accepted({ ...state, revision: state.revision + 1, moves });
};

const setEvacuation = (state: DeploymentState, { kind, zone }: EvacuationCommand): Result => {
    const evacuated = kind === "start-evacuation";
    if (state.evacuatedZones.has(zone) === evacuated) {
        return accepted(state);
    }
    const evacuatedZones = new Set(state.evacuatedZones);
    if (evacuated) {
        evacuatedZones.add(zone);
    }
    else {
        evacuatedZones.delete(zone);
    }
    return accepted({ ...state, revision: state.revision + 1, evacuatedZones });
};

/** Applies a command to a deployment. The same state and command give the same result on every replica. */
export const applyDeploymentCommand = (state: DeploymentState, command: DeploymentCommand): Result => {
    switch (command.kind) {
        case "put-configuration":
            return putConfiguration(state, command);
        case "start-move":
            return applyOrder(state, command, startRollout);
        case "start-evacuation":
        case "stop-evacuation":
            return applyOrder(state, command, setEvacuation);
        case "record-crashes":
            // Members learn of it from one another: the revision, of which nodes are notified, stays.
            return accepted({ ...state, crashRecords: crashRecords.apply(state.crashRecords, command) });
        case "record-departure": {
            const { atMs, departure, nodeId } = command;
            // Only the node on that host needs it, and asks for it.
            return accepted({
                ...state,
                departures: departureRecords.apply(state.departures, nodeId, departure, atMs),
            });
        }
        case "set-only-version":
            return setOnlyVersion(state, command);
        default:
            return changeRollout(state, command);
    }
};
