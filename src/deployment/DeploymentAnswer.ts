/** What a command led to. "accepted" holds also for the exact repetition of a command that was accepted before. */
export type DeploymentAnswer =
    | { readonly kind: "accepted"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly currentVersion: number; }
    | { readonly kind: "invalid"; readonly fault: string; }
    | { readonly kind: "stale"; };
