/** The result of a command. A resent command to put a configuration or start a rollout is "accepted" again. */
export type DeploymentAnswer =
    | { readonly kind: "accepted"; readonly revision: number; }
    /** The base version of the command is not the current version. */
    | { readonly kind: "conflict"; readonly currentVersion: number; }
    | { readonly kind: "invalid"; readonly fault: string; }
    /** The rollout that the command refers to has ended or was replaced. */
    | { readonly kind: "stale"; };
