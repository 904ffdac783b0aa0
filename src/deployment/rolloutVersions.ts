/** The version numbers in the request statistics of a rollout: its target version, and all other versions together. */
export const rolloutVersions = { others: 0, target: 1 } as const;
