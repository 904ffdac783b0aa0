/** A process that may serve as parent. */
export type ParentCandidate = {
    /** IP:PORT of its peer side. */
    readonly address: string;
    /**
     * Whether reports go up to it. Configuration may flow in circles, since no revision ever goes back; reports
     * may not, since they add up.
     */
    readonly takesReports: boolean;
};
