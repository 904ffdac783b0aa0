/** Which events are wanted. Undefined fields let everything pass. */
export type TimelineFilter = {
    readonly service?: string;
    readonly version?: string;
    readonly process?: string;
    readonly event?: string;
    readonly requestId?: string;
};
