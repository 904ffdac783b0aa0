import { ServiceRollout } from "../deployment/ServiceRollout";
import { ServiceRolloutState } from "../deployment/ServiceRolloutState";

/** Which backend servers of a service a node knows that may get requests. */
type KnownVersions = {
    /** True if one of them runs the target version of the rollout. */
    readonly hasTarget: boolean;
    /** True if one of them runs another version. */
    readonly hasOthers: boolean;
};

const shareByState = ({ share, state }: ServiceRollout): number => {
    switch (state) {
        case ServiceRolloutState.Finished:
            return 1;
        case ServiceRolloutState.RolledBack:
            return 0;
        case ServiceRolloutState.Running:
            return share;
    }
};

/**
 * Returns the share of a service's requests, 0 to 1, that goes to the target version of its rollout. The others go to
 * the other versions, and are refused if this node knows of none. A node that has just started, or was cut off, may know
 * the target's backend servers first. It therefore sends all requests there only if the leader knows that no other
 * version is left, and never to a version that was rolled back for failures.
 */
export const targetShare = (
    rollout: ServiceRollout | undefined,
    { hasOthers, hasTarget }: KnownVersions,
): number => {
    if (!rollout || !hasTarget) {
        return 0;
    }
    const servesAlone = !hasOthers && rollout.isOnlyVersion === true && rollout.isFaulty !== true;
    return servesAlone ? 1 : shareByState(rollout);
};
