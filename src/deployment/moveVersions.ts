/** The version numbers in the evidence on a move: the move's target version, and all other versions together. */
export const moveVersions = { others: 0, target: 1 } as const;
