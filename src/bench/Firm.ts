/** The services and sizes of one of the two firms that the bench emulates. */
export type Firm = {
    readonly name: "lipa" | "bursa";
    /** The service that the bench measures, and its number of backend servers. */
    readonly service: string;
    readonly instances: number;
    /** A second service, which only adds hosts to the mesh. */
    readonly otherService: string;
    readonly otherInstances: number;
    /** Slots of each backend server. */
    readonly slots: number;
    /**
     * Backend latency in the overload experiment. The full load is `instances * slots / latency`; this latency makes it
     * 240 requests per second for both firms.
     */
    readonly overloadLatencyMs: number;
    readonly readPath: string;
    readonly orderPath: string;
};
