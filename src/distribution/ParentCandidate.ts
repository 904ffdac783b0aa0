/** A process that may serve as parent. */
export type ParentCandidate = {
    /** Its peer address as IP:PORT. */
    readonly address: string;
    /**
     * Whether reports may be sent to it. Configuration may flow in a cycle of parents, since revisions never go back.
     * Reports must not, since their counts would be added up again and again.
     */
    readonly acceptsReports: boolean;
};
