/** Whether a backend server takes new requests. */
export enum EndpointState {
    Ready = "ready",
    Draining = "draining",
}
