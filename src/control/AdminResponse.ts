/** A response of the administration API: an HTTP status and a JSON body. */
export type AdminResponse = {
    readonly status: number;
    readonly body: unknown;
};
