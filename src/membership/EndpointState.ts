/** Whether a backend server accepts new requests. */
export enum EndpointState {
    Ready = "ready",
    Draining = "draining",
}
