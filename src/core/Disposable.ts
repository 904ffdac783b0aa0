/** An object that holds a resource (socket, timer, file) until it is disposed of. */
export type Disposable = {
    readonly dispose: () => void | Promise<void>;
};
