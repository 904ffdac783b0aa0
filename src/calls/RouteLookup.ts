import { MeshRoute } from "../configuration/MeshRoute";

/** What the configuration in force says about a request. */
export type RouteLookup = {
    readonly route: MeshRoute | undefined;
    readonly configurationVersion: number;
    readonly maximumBodyBytes: number;
    /** True if the configuration has client accounts: then the system alone decides which account a request names. */
    readonly hasAccounts: boolean;
};
