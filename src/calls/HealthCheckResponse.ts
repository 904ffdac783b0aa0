/** How a health check of a backend server ended. */
export type HealthCheckResponse =
    | {
        readonly kind: "answered";
        /** Id of the instance that responded; undefined if it states none. */
        readonly instanceId: string | undefined;
        /** How long it stays cold, 0 if it is warm; undefined if it does not state it. */
        readonly coldRemainingMs: number | undefined;
    }
    /** The connection was refused. */
    | { readonly kind: "unreachable"; }
    /** The connection ended before a complete response. */
    | { readonly kind: "broken"; }
    | { readonly kind: "timed-out"; };
