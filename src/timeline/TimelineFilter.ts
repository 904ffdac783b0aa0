/** Selects events whose fields equal the given ones. An undefined field matches every event. */
export type TimelineFilter = {
    readonly service?: string;
    readonly version?: string;
    readonly process?: string;
    readonly event?: string;
    readonly requestId?: string;
};
