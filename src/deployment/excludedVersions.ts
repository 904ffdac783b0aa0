import { ServiceRollout } from "./ServiceRollout";
import { ServiceRolloutState } from "./ServiceRolloutState";

/** Versions of a service that stay excluded; the oldest ones are dropped first. */
const MAXIMUM_VERSIONS = 16;

/**
 * Returns the versions that get no requests during a rollout to `targetVersion`: those that rollouts before it rolled
 * back because they failed, and new ones whose rollouts were replaced before they had finished.
 * @param previous the last rollout of the service
 * @param rollsBackReplaced see `DeploymentCommand`
 */
export const excludedVersions = (
    previous: ServiceRollout | undefined,
    targetVersion: string,
    rollsBackReplaced: boolean,
): readonly string[] => {
    const isReplaced = rollsBackReplaced && previous?.state === ServiceRolloutState.Running
        && previous.isNewVersion === true && !previous.isOnlyVersion;
    const latest = previous && (previous.isFaulty || isReplaced) ? [previous.targetVersion] : [];
    return [...new Set([...previous?.excludedVersions ?? [], ...latest])]
        .filter((version) => version !== targetVersion)
        .slice(-MAXIMUM_VERSIONS);
};
