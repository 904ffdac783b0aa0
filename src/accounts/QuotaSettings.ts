/** The bound on the requests of an account that are run in any window, as in `DeploymentControlSettings`. */
export type QuotaSettings = {
    readonly quotaWindowMs: number;
    readonly quotaOverage: number;
    readonly quotaSlack: number;
};
