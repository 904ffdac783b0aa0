import { MeshRoute } from "../configuration/MeshRoute";

/** What the ingress stages decide on: a caller's request whose route is known. */
export type IngressRequest = {
    readonly requestId: string;
    readonly route: MeshRoute;
    /** The version of the configuration that the route was found in. */
    readonly configurationVersion: number;
    /** The value of the `Authorization` header. It must not be logged. */
    readonly authorization: string | undefined;
    /** Time of the monotonic clock. */
    readonly arrivedMs: number;
    /** Name of the caller's client account, once a stage has found it. */
    readonly account: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
};
