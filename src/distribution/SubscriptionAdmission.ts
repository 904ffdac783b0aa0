/** How many new subscriptions a parent may serve now. */
export type SubscriptionAdmission = {
    readonly tokens: number;
    readonly updatedAtMs: number;
};
