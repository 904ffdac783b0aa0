/** What the choice of a backend server depends on. */
export type SelectedCall = {
    readonly service: string;
    readonly routeName: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time of the monotonic clock after which a response counts as late. */
    readonly targetAtMs: number;
};
