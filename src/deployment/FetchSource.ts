/** What a node knows of a control replica that it may fetch a configuration from. */
export type FetchSource = {
    readonly address: string;
    /** The newest configuration version that it announced; 0 while it is not connected. */
    readonly announcedVersion: number;
    readonly isConnected: boolean;
    readonly isInZone: boolean;
    /** Fetches and announcements that it did not deliver in time or not intact, since its last announcement. */
    readonly delays: number;
};
