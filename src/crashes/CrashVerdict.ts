/** Whether a request may be sent to a backend server. */
export type CrashVerdict =
    | { readonly kind: "free"; }
    /** Backend servers crashed under it lately. It may run, but not twice at the same time. */
    | { readonly kind: "suspect"; }
    /** It may run only at one backend server of the mesh at a time, and there not beside another one such. */
    | { readonly kind: "trial"; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; };
